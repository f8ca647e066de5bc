// Command line shared by the daemons.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace savory {

// Exit status of a program whose options or settings are invalid.
inline constexpr int kExitUsage = 2;

struct DaemonCommand {
  std::string config_file;
  bool check_config = false;  // check the settings, print "ok" and exit
};

// Parses --config, --check-config, --help and --version. The last two print their text and return
// nullopt. Errors: kInvalidSettings for an invalid or missing option.
Result<std::optional<DaemonCommand>> ParseDaemonCommand(int argc, const char* const* argv,
                                                        std::string_view program,
                                                        std::string_view summary);

}  // namespace savory
