#include "records/watch_duty.h"

#include <algorithm>

#include "base/digest.h"

namespace savory {

WatchDuty::WatchDuty(WatchDutyOptions given) : options(std::move(given)) {}

void WatchDuty::SetPeers(const std::vector<std::string>& peers) {
  const std::uint64_t own = RendezvousScore(this->options.prefix, this->options.peer);
  const auto before = std::count_if(peers.begin(), peers.end(), [&](const std::string& peer) {
    return RendezvousScore(this->options.prefix, peer) > own;
  });
  this->chosen = static_cast<std::size_t>(before) < this->options.watchers;
}

void WatchDuty::HeardFrom(const std::string&, Duration contact, Instant now) {
  if (contact <= this->options.longest_contact) this->last_word = now;
}

bool WatchDuty::MustWatch(Instant now) const {
  return this->chosen || now - this->last_word > this->options.longest_silence;
}

}  // namespace savory
