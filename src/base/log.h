// Structured logs. Processes with agents in the request path write lines for changes of state only,
// through log4cxx to standard error. Entries that reach upstreams directly write a line for each
// decision that touches a request; log4cxx formats and writes each line at once and blocks on a
// full pipe, so their lines go through a LogBuffer to standard output.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace savory {

enum class LogLevel { kDebug, kInfo, kWarn, kError };
enum class LogFormat { kKeyValue, kJson };
enum class LogOutput { kStandardError, kBuffered };

// One key=value field of a line.
struct LogField {
  LogField(std::string_view name, std::string_view text);
  LogField(std::string_view name, const char* text);
  LogField(std::string_view name, const std::string& text);
  LogField(std::string_view name, bool value);
  LogField(std::string_view name, double value);
  template <std::integral T>
  LogField(std::string_view name, T value) : name(name), text(std::to_string(value)) {}

  std::string_view name;
  std::string text;
};

// Settings of the process's log.
struct LogOptions {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kKeyValue;
  std::string vm = {};  // field of every line
  LogOutput output = LogOutput::kStandardError;
  // Sampled lines in one second; further ones are counted, not written. For kBuffered.
  std::uint32_t max_sampled_lines = 200;
};

// Call once, before the first line.
void ConfigureLog(const LogOptions& options);

// Writes one line: time, level, vm, event and `fields`. Thread-safe.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

// As Log() at kInfo, for lines that come with each success: under load only some are written.
void LogSampled(std::string_view event, std::initializer_list<LogField> fields);

// Writes what kBuffered holds to standard output, as far as that takes it without blocking. Call it
// some times a second and before the process ends.
void FlushLog();

}  // namespace savory
