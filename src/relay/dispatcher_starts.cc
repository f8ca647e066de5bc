// The part of Dispatcher that tells which starts of upstreams go on, and which have ended.
#include "relay/dispatcher.h"

namespace savory {

bool Dispatcher::IsExpectedToStay(const UpstreamStart& start, Instant now) const {
  const auto known = this->pool_of.find(start.id);
  if (known == this->pool_of.end() || this->notices.IsLeaving(start, now)) return false;
  const Upstream& listed = this->pools.find(known->second)->second.find(start.id)->second.upstream;
  return !listed.draining && listed.started_unix_ms == start.started_unix_ms;
}

bool Dispatcher::WasReplaced(const UpstreamStart& start, Instant now) const {
  return this->replaced.Contains(start) && !this->notices.IsLeaving(start, now);
}

void Dispatcher::NoteLaterStart(std::string_view id, std::int64_t later_unix_ms) {
  const auto known = this->pool_of.find(id);
  if (known == this->pool_of.end()) return;
  const Upstream& listed = this->pools.find(known->second)->second.find(id)->second.upstream;
  const bool is_later = listed.started_unix_ms > 0 && later_unix_ms > listed.started_unix_ms;
  if (!is_later || listed.draining) return;
  this->replaced.Add({.id = listed.id, .started_unix_ms = listed.started_unix_ms});
}

}  // namespace savory
