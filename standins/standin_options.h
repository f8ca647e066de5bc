// Command line of the stand-ins.
#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <string_view>

namespace savory::standins {

// Collects the options of one stand-in. --listen, --help and --version are always present.
class StandinOptions {
 public:
  StandinOptions(std::string_view program, std::string_view summary);

  // Adds an option with a default, which is the value of `target`.
  template <typename T>
  void Add(const char* name, T& target, const char* help) {
    this->description.add_options()(
        name, boost::program_options::value(&target)->default_value(target), help);
  }

  // Fills in the targets. Exits with status 0 after --help or --version, and with status 2 after an
  // invalid option.
  void ParseOrExit(int argc, const char* const* argv);

  const std::string& Listen() const { return this->listen; }

 private:
  std::string program;
  std::string summary;
  std::string listen;
  boost::program_options::options_description description;
};

}  // namespace savory::standins
