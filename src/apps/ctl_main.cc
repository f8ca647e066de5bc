// savoryrouterctl: command-line tool for operators.
#include <iostream>
#include <map>

#include "apps/ctl_edit.h"
#include "apps/ctl_explain.h"
#include "apps/ctl_fleet.h"
#include "apps/ctl_manifest.h"
#include "apps/ctl_options.h"
#include "apps/ctl_refusals.h"
#include "apps/ctl_tables.h"
#include "base/command_line.h"
#include "base/log.h"

namespace savory {
namespace {

// Exit statuses in addition to 0 and kExitUsage.
constexpr int kExitFailed = 1;
constexpr int kExitConflict = 3;
constexpr int kExitOutcomeUnknown = 4;  // the write may have taken effect

using Command = Result<void> (*)(const CtlOptions& options);

const std::map<std::string, Command, std::less<>>& Commands() {
  static const std::map<std::string, Command, std::less<>> kCommands = {
      {"check", RunCheck},
      {"get", RunGet},
      {"diff", RunDiff},
      {"apply", RunApply},
      {"set-pool", RunSetPool},
      {"set-route", RunSetRoute},
      {"remove-pool", RunRemovePool},
      {"remove-route", RunRemoveRoute},
      {"history", RunHistory},
      {"rollback", RunRollback},
      {"status", RunStatus},
      {"watch", RunWatch},
      {"refusals", RunRefusals},
      {"lift", RunLift},
      {"explain", RunExplain},
      {"manifest", RunManifest},
  };
  return kCommands;
}

int ExitStatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidSettings:
    case ErrorKind::kInvalidTable:
    case ErrorKind::kRowNotFound:
    case ErrorKind::kNotFound:
      return kExitUsage;
    case ErrorKind::kEditConflict:
      return kExitConflict;
    case ErrorKind::kWriteOutcomeUnknown:
      return kExitOutcomeUnknown;
    default:
      return kExitFailed;
  }
}

int ReportError(const Error& error) {
  const int status = ExitStatusOf(error.kind);
  std::cerr << (status == kExitUsage ? error.detail : Describe(error)) << '\n';
  return status;
}

int RunCtl(int argc, const char* const* argv) {
  const auto options = ParseCtlOptions(argc, argv);
  if (!options) return ReportError(options.error());
  if (!options.value()) return 0;
  const auto command = Commands().find(options.value()->command);
  if (command == Commands().end()) {
    return ReportError(
        Error{.kind = ErrorKind::kInvalidSettings,
              .detail = "unknown command " + options.value()->command + "; see --help"});
  }
  const auto result = command->second(*options.value());
  return result ? 0 : ReportError(result.error());
}

}  // namespace
}  // namespace savory

int main(int argc, char** argv) { return savory::RunCtl(argc, argv); }
