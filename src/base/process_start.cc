#include "base/process_start.h"

#include <chrono>

namespace savory {

std::uint64_t MakeIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

LogOptions ReadLogOptions(SettingsReader reader) {
  LogOptions options;
  options.level = static_cast<LogLevel>(
      reader.Choice("level", {"debug", "info", "warn", "error"}, std::size_t{1}));
  options.format =
      static_cast<LogFormat>(reader.Choice("form", {"key-value", "json"}, std::size_t{0}));
  return options;
}

}  // namespace savory
