#include "records/watcher_selection.h"

#include <algorithm>

#include "base/digest.h"

namespace savory {

WatcherSelection::WatcherSelection(WatcherSelectionOptions given) : options(std::move(given)) {}

void WatcherSelection::SetPeers(const std::vector<std::string>& peers) {
  const std::uint64_t own = RendezvousScore(this->options.prefix, this->options.peer);
  const auto higher_ranked = std::count_if(
      peers.begin(), peers.end(),
      [&](const std::string& peer) { return RendezvousScore(this->options.prefix, peer) > own; });
  this->selected = static_cast<std::size_t>(higher_ranked) < this->options.max_watchers;
}

void WatcherSelection::OnPeerContact(const std::string& peer, Duration contact_age, Instant now) {
  if (contact_age > this->options.max_contact_age) return;
  const std::uint64_t own = RendezvousScore(this->options.prefix, this->options.peer);
  if (RendezvousScore(this->options.prefix, peer) > own) this->last_watcher_contact = now;
}

bool WatcherSelection::ShouldWatch(Instant now) const {
  return this->selected || now - this->last_watcher_contact > this->options.watcher_timeout;
}

}  // namespace savory
