// Structured logs through log4cxx. A line is written for a change of state
// only; anything that happens per request or per message is a counter
// (base/metrics.h).
#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace savory {

enum class LogLevel { kDebug, kInfo, kWarn, kError };
enum class LogForm { kKeyValue, kJson };

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
  LogForm form = LogForm::kKeyValue;
  std::string vm = {};  // field of every line
};

// Directs the log to standard error. Call once, before the first line.
void ConfigureLog(const LogOptions& options);

// Writes one line: time, level, vm, event and `fields`. Thread-safe.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace savory
