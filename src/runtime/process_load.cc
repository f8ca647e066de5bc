#include "runtime/process_load.h"

#include <sys/resource.h>

#include "base/log.h"
#include "base/metrics.h"
#include "runtime/event_loop.h"
#include "runtime/peer_transport.h"

namespace savory {
namespace {

Duration ToDuration(const timeval& time) {
  return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
}

}  // namespace

ProcessLoad::ProcessLoad(EventLoop& loop, Metrics& metrics, const PeerTransport& peers)
    : loop(loop),
      peers(peers),
      user_seconds(metrics.GaugeFor("savory_process_user_seconds")),
      system_seconds(metrics.GaugeFor("savory_process_system_seconds")),
      wakeups(metrics.GaugeFor("savory_process_wakeups")) {}

void ProcessLoad::Start(Duration period) {
  this->loop.Every(period, [this] { this->LogSinceLast(); });
}

ProcessLoad::Totals ProcessLoad::Measure() const {
  rusage usage = {};
  getrusage(RUSAGE_SELF, &usage);
  const TransportTotals transport = this->peers.Totals();
  return {.user = ToDuration(usage.ru_utime),
          .system = ToDuration(usage.ru_stime),
          .wakeups = this->loop.Wakeups(),
          .messages_sent = transport.messages_sent,
          .messages_received = transport.messages_received,
          .control_bytes = transport.control_sent + transport.control_received};
}

void ProcessLoad::LogSinceLast() {
  const Totals now = this->Measure();
  this->user_seconds.Set(ToSeconds(now.user));
  this->system_seconds.Set(ToSeconds(now.system));
  this->wakeups.Set(static_cast<double>(now.wakeups));
  Log(LogLevel::kInfo, "process_load",
      {{"user_ms", ToMillis(now.user - this->last.user)},
       {"system_ms", ToMillis(now.system - this->last.system)},
       {"wakeups", now.wakeups - this->last.wakeups},
       {"messages_sent", now.messages_sent - this->last.messages_sent},
       {"messages_received", now.messages_received - this->last.messages_received},
       {"control_bytes", now.control_bytes - this->last.control_bytes}});
  this->last = now;
}

}  // namespace savory
