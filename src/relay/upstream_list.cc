#include "relay/upstream_list.h"

namespace savory {

UpstreamListChange UpstreamList::Set(const Upstream& upstream) {
  UpstreamListChange change;
  if (const Upstream* other = this->OtherAt(upstream.address, upstream.id)) {
    const bool comparable = other->started_unix_ms > 0 && upstream.started_unix_ms > 0;
    if (comparable && other->started_unix_ms > upstream.started_unix_ms) {
      this->Erase(upstream.id);
      return {.superseded = true};
    }
    if (comparable && other->started_unix_ms < upstream.started_unix_ms) {
      change.replaced = other->id;
      this->Erase(change.replaced);
    }
  }
  this->upstreams[upstream.id] = upstream;
  this->pending_removals.erase(upstream.id);
  this->id_at[upstream.address] = upstream.id;
  return change;
}

const Upstream* UpstreamList::OtherAt(const std::string& address, const std::string& id) const {
  const auto at = this->id_at.find(address);
  if (at == this->id_at.end() || at->second == id) return nullptr;
  const auto found = this->upstreams.find(at->second);
  const bool is_current = found != this->upstreams.end() && found->second.address == address;
  return is_current ? &found->second : nullptr;
}

void UpstreamList::Erase(const std::string& id) {
  const auto found = this->upstreams.find(id);
  if (found == this->upstreams.end()) return;
  const auto at = this->id_at.find(found->second.address);
  if (at != this->id_at.end() && at->second == id) this->id_at.erase(at);
  this->upstreams.erase(found);
  this->pending_removals.erase(id);
}

bool UpstreamList::InGrace(Instant now, Instant outage_end) const {
  return outage_end != Instant() && now < outage_end + this->options.store_return_grace;
}

bool UpstreamList::Remove(const std::string& id, Instant now, Instant outage_end) {
  if (!this->upstreams.contains(id)) return false;
  if (this->InGrace(now, outage_end)) {
    this->pending_removals.emplace(id, now);
    return false;
  }
  this->Erase(id);
  return true;
}

std::vector<std::string> UpstreamList::TakeExpired(Instant now, Instant outage_end) {
  const bool in_grace = this->InGrace(now, outage_end);
  std::vector<std::string> expired;
  for (const auto& [id, removed_at] : this->pending_removals) {
    if (!in_grace || now >= removed_at + this->options.max_deferral) expired.push_back(id);
  }
  for (const std::string& id : expired) this->Erase(id);
  return expired;
}

}  // namespace savory
