#include "base/log.h"

#include <fcntl.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <nlohmann/json.hpp>

#include "base/log_buffer.h"

namespace savory {
namespace {

// Holds the lines of several seconds under full load.
constexpr std::size_t kMaxBufferedBytes = std::size_t{512} * 1024;
// A process that exits waits this long for its last lines to be accepted.
constexpr Duration kLastLinesWait = std::chrono::milliseconds(100);

struct LogState {
  log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("savoryrouter");
  LogOptions options;
  LogBuffer buffer{kMaxBufferedBytes};
  std::atomic<std::int64_t> second = 0;  // Unix time to which sampled_lines applies
  std::atomic<std::uint32_t> sampled_lines = 0;
};

LogState& State() {
  static LogState state;
  return state;
}

log4cxx::LevelPtr ToLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

// Quotes a value that is empty or contains spaces, tabs, line breaks, double quotes or "=".
std::string Quote(const std::string& text) {
  if (!text.empty() && text.find_first_of(" \t\r\n\"=") == std::string::npos) return text;
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string FormatKeyValue(const LogOptions& options, std::string_view event,
                           std::initializer_list<LogField> fields) {
  std::string line = "event=" + std::string(event);
  if (!options.vm.empty()) line += " vm=" + Quote(options.vm);
  for (const LogField& field : fields) {
    line += " " + std::string(field.name) + "=" + Quote(field.text);
  }
  return line;
}

std::string FormatJson(const LogOptions& options, std::string_view event,
                       std::initializer_list<LogField> fields) {
  nlohmann::ordered_json line = {{"event", event}};
  if (!options.vm.empty()) line["vm"] = options.vm;
  for (const LogField& field : fields) line[std::string(field.name)] = field.text;
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

constexpr std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "DEBUG";
    case LogLevel::kInfo:
      return "INFO";
    case LogLevel::kWarn:
      return "WARN";
    case LogLevel::kError:
      return "ERROR";
  }
  return "INFO";
}

std::string Format(const LogOptions& options, std::string_view event,
                   std::initializer_list<LogField> fields) {
  return options.format == LogFormat::kJson ? FormatJson(options, event, fields)
                                            : FormatKeyValue(options, event, fields);
}

std::int64_t NowMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Counts one sampled line and returns whether it may be written in this second.
bool AllowSampledLine(LogState& state) {
  const std::int64_t second = NowMillis() / 1000;
  if (state.second.exchange(second) != second) state.sampled_lines = 0;
  return ++state.sampled_lines <= state.options.max_sampled_lines;
}

void AddBuffered(LogState& state, LogLevel level, std::string_view event,
                 std::initializer_list<LogField> fields) {
  if (level < state.options.level) return;
  std::string line = std::to_string(NowMillis());
  line += ' ';
  line += LevelName(level);
  line += ' ';
  line += Format(state.options, event, fields);
  state.buffer.Add(line);
}

}  // namespace

LogField::LogField(std::string_view name, std::string_view text) : name(name), text(text) {}
LogField::LogField(std::string_view name, const char* text) : name(name), text(text) {}
LogField::LogField(std::string_view name, const std::string& text) : name(name), text(text) {}
LogField::LogField(std::string_view name, bool value)
    : name(name), text(value ? "true" : "false") {}
LogField::LogField(std::string_view name, double value)
    : name(name), text(nlohmann::json(value).dump()) {}

void ConfigureLog(const LogOptions& options) {
  State().options = options;
  if (options.output == LogOutput::kBuffered) {
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    return;
  }
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %p %m%n");
  const auto appender =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  State().logger->setLevel(ToLevel(options.level));
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  LogState& state = State();
  if (state.options.output == LogOutput::kBuffered) {
    AddBuffered(state, level, event, fields);
    return;
  }
  const log4cxx::LevelPtr log_level = ToLevel(level);
  if (!state.logger->isEnabledFor(log_level)) return;
  const std::string line = Format(state.options, event, fields);
  LOG4CXX_LOG(state.logger, log_level, line);
}

void LogSampled(std::string_view event, std::initializer_list<LogField> fields) {
  LogState& state = State();
  if (state.options.output == LogOutput::kBuffered && !AllowSampledLine(state)) {
    state.buffer.CountSkipped();
    return;
  }
  Log(LogLevel::kInfo, event, fields);
}

void FlushLog() { State().buffer.WriteTo(STDOUT_FILENO); }

void FlushLogAtExit() { State().buffer.WriteAllTo(STDOUT_FILENO, kLastLinesWait); }

}  // namespace savory
