#include "runtime/uncaught.h"

#include <atomic>

#include "base/log.h"

namespace savory {
namespace {

std::atomic<std::uint64_t> reported = 0;

}  // namespace

void ReportUncaught(std::string_view where, std::string_view reason) {
  ++reported;
  Log(LogLevel::kError, "uncaught_exception", {{"where", where}, {"reason", reason}});
}

std::uint64_t UncaughtExceptions() { return reported; }

}  // namespace savory
