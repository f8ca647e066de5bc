#include "base/command_line.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace savory {

namespace po = boost::program_options;

Result<std::optional<DaemonCommand>> ParseDaemonCommand(int argc, const char* const* argv,
                                                        std::string_view program,
                                                        std::string_view summary) {
  DaemonCommand command;
  po::options_description options("Options");
  options.add_options()("config", po::value(&command.config_file), "settings file (YAML)")(
      "check-config", "check the settings and exit")("help", "print this help")(
      "version", "print the version");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    return Error{.kind = ErrorKind::kInvalidSettings, .detail = error.what()};
  }
  if (values.contains("help")) {
    std::cout << program << ": " << summary << "\n\n" << options;
    return std::optional<DaemonCommand>();
  }
  if (values.contains("version")) {
    std::cout << program << ' ' << SAVORY_VERSION << '\n';
    return std::optional<DaemonCommand>();
  }
  if (command.config_file.empty()) {
    return Error{.kind = ErrorKind::kInvalidSettings, .detail = "the option --config is required"};
  }
  command.check_config = values.contains("check-config");
  return std::optional(command);
}

}  // namespace savory
