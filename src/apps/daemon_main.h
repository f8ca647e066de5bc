// Common main function of the daemons: parses the command line and reads the settings.
#pragma once

#include <functional>
#include <iostream>
#include <string_view>

#include "base/command_line.h"
#include "base/daemon_signals.h"
#include "base/settings.h"

namespace savory {

// Reads the settings of a daemon and passes them to `run`; returns the exit status. `read` parses
// the settings; its errors are collected in the reader.
template <typename Settings>
int RunDaemon(int argc, const char* const* argv, std::string_view program, std::string_view summary,
              std::function<Settings(SettingsReader&)> read,
              std::function<int(const Settings&)> run) {
  BlockDaemonSignals();
  const auto fail = [](const Error& error) {
    std::cerr << error.detail << '\n';
    return kExitUsage;
  };
  const auto command = ParseDaemonCommand(argc, argv, program, summary);
  if (!command) return fail(command.error());
  if (!command.value()) return 0;
  auto reader = SettingsReader::FromFile(command.value()->config_file);
  if (!reader) return fail(reader.error());
  Settings settings = read(reader.value());
  const auto checked = reader.value().Finish();
  if (!checked) return fail(checked.error());
  if (command.value()->check_config) {
    std::cout << "ok\n";
    return 0;
  }
  // Settings with a member `file` belong to a daemon that reloads them and so needs the path.
  if constexpr (requires { settings.file; }) settings.file = command.value()->config_file;
  return run(settings);
}

}  // namespace savory
