#include "relay/upstream_list.h"

namespace savory {

void UpstreamList::Set(const Upstream& upstream) {
  this->upstreams[upstream.id] = upstream;
  this->leaving.erase(upstream.id);
}

bool UpstreamList::Remove(const std::string& id, Instant now, Instant reachable_since) {
  if (!this->upstreams.contains(id)) return false;
  const Instant grace_end = reachable_since + this->options.return_grace;
  if (reachable_since != Instant() && now < grace_end) {
    this->leaving.emplace(id, grace_end);
    return false;
  }
  this->upstreams.erase(id);
  this->leaving.erase(id);
  return true;
}

std::vector<std::string> UpstreamList::TakeExpired(Instant now) {
  std::vector<std::string> gone;
  for (auto entry = this->leaving.begin(); entry != this->leaving.end();) {
    if (now < entry->second) {
      ++entry;
      continue;
    }
    gone.push_back(entry->first);
    this->upstreams.erase(entry->first);
    entry = this->leaving.erase(entry);
  }
  return gone;
}

}  // namespace savory
