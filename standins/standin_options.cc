#include "standins/standin_options.h"

#include <cstdlib>
#include <iostream>

namespace savory::standins {

namespace po = boost::program_options;

constexpr int kExitUsage = 2;

StandinOptions::StandinOptions(std::string_view program, std::string_view summary)
    : program(program), summary(summary), description("Options") {
  this->description.add_options()("listen", po::value(&this->listen)->required(), "IP:PORT")(
      "help", "print this help")("version", "print the version");
}

void StandinOptions::ParseOrExit(int argc, const char* const* argv) {
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, this->description), values);
    if (values.contains("help")) {
      std::cout << this->program << ": " << this->summary << "\n\n" << this->description;
      std::exit(EXIT_SUCCESS);
    }
    if (values.contains("version")) {
      std::cout << this->program << ' ' << SAVORY_VERSION << '\n';
      std::exit(EXIT_SUCCESS);
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << this->program << ": " << error.what() << '\n';
    std::exit(kExitUsage);
  }
}

}  // namespace savory::standins
