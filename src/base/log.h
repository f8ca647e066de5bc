// Structured logs. By default lines are written through log4cxx to standard error. This suits
// agents, and entries that send requests through agents, because they log only changes of state.
// Entries that reach upstreams directly log every decision on a request. log4cxx writes each line
// synchronously and blocks on a full pipe, so these entries write through a LogBuffer to standard
// output instead.
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

struct LogOptions {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kKeyValue;
  std::string vm = {};  // field of every line
  LogOutput output = LogOutput::kStandardError;
  // Limit of LogSampled() lines per second with kBuffered; further lines are only counted.
  std::uint32_t max_sampled_lines = 200;
};

// Call once, before the first line.
void ConfigureLog(const LogOptions& options);

// Writes one line: time, level, vm, event and `fields`. Thread-safe.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

// Like Log() at kInfo, for lines that every successful request causes. With kBuffered, at most
// `max_sampled_lines` of them are written per second.
void LogSampled(std::string_view event, std::initializer_list<LogField> fields);

// With kBuffered, writes buffered lines to standard output, as many as it accepts without blocking.
// Call it several times per second.
void FlushLog();

// With kBuffered, writes all buffered lines, and waits up to 0.1 s for standard output to accept
// them. Call it before the process exits: the last lines tell what a stop has cut off.
void FlushLogAtExit();

}  // namespace savory
