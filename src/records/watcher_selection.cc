#include "records/watcher_selection.h"

#include <algorithm>

#include "base/digest.h"

namespace savory {

WatcherSelection::WatcherSelection(WatcherSelectionOptions given) : options(std::move(given)) {}

void WatcherSelection::SetPeers(const std::vector<std::string>& peers) {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(peers.size() + 1);
  for (const std::string& peer : peers) {
    ranked.emplace_back(RendezvousScore(this->options.prefix, peer), peer);
  }
  ranked.emplace_back(RendezvousScore(this->options.prefix, this->options.peer),
                      this->options.peer);
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(ranked.size(), this->options.max_watchers));
  this->selected = false;
  std::map<std::string, Instant> next;
  for (const auto& [score, peer] : ranked) {
    if (peer == this->options.peer) {
      this->selected = true;
      continue;
    }
    const auto known = this->watchers.find(peer);
    next[peer] = known == this->watchers.end() ? Instant() : known->second;
  }
  this->watchers = std::move(next);
}

bool WatcherSelection::ForwardsTo(const std::string& peer, Instant now) const {
  const auto has_contact = [this, now](const auto& watcher) {
    return now - watcher.second <= this->options.watcher_timeout;
  };
  const auto itself = this->watchers.find(peer);
  if (itself != this->watchers.end() && has_contact(*itself)) return false;
  const std::uint64_t own = RendezvousScore(peer, this->options.peer);
  return std::none_of(this->watchers.begin(), this->watchers.end(), [&](const auto& watcher) {
    return has_contact(watcher) && watcher.first != peer &&
           RendezvousScore(peer, watcher.first) > own;
  });
}

void WatcherSelection::OnPeerContact(const std::string& peer, Duration contact_age, Instant now) {
  const Instant contact = now - contact_age;
  if (const auto watcher = this->watchers.find(peer); watcher != this->watchers.end()) {
    watcher->second = std::max(watcher->second, contact);
  }
  const std::uint64_t own = RendezvousScore(this->options.prefix, this->options.peer);
  if (RendezvousScore(this->options.prefix, peer) <= own) return;
  this->last_watcher_contact = std::max(this->last_watcher_contact, contact);
}

bool WatcherSelection::ShouldWatch(Instant now) const {
  return this->selected || now - this->last_watcher_contact > this->options.watcher_timeout;
}

}  // namespace savory
