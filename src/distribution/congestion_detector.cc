#include "distribution/congestion_detector.h"

#include <algorithm>

namespace savory {
namespace {

// Number of recent delays whose minimum is used.
constexpr std::size_t kDelaySamples = 5;
// Two seconds of probes.
constexpr std::size_t kMaxRecordedProbes = 20;

}  // namespace

std::uint64_t CongestionDetector::StartProbe(Instant now) {
  this->next_probe = now + this->options.probe_period;
  const std::uint64_t number = this->next_number++;
  this->probes.push_back({.number = number, .at = now});
  if (this->probes.size() > kMaxRecordedProbes) this->probes.pop_front();
  return number;
}

void CongestionDetector::OnProbeReply(std::uint64_t number, Instant now) {
  for (SentProbe& probe : this->probes) {
    if (probe.number == number && !probe.delay) probe.delay = now - probe.at;
  }
  this->Advance(now);
}

void CongestionDetector::Advance(Instant now) {
  std::size_t counted = 0;
  Duration shortest = Duration::max();
  Instant earliest = now;
  for (auto probe = this->probes.rbegin(); probe != this->probes.rend(); ++probe) {
    const Duration delay = probe->delay.value_or(now - probe->at);
    // An unanswered probe counts only once it exceeds the limit.
    if (!probe->delay && delay <= this->options.max_probe_delay) continue;
    shortest = std::min(shortest, delay);
    earliest = probe->at;
    if (++counted == kDelaySamples) break;
  }
  if (counted < kDelaySamples || shortest <= this->options.max_probe_delay) return;
  this->OnQueueDetected(shortest, earliest, now);
}

void CongestionDetector::OnQueueDetected(Duration delay, Instant sent, Instant now) {
  if (this->State(now) == LinkState::kFree) this->busy_since = now;
  this->busy_until = now + this->options.busy_duration;
  // Probes sent before earlier transfers had finished do not show the effect of sending one chunk
  // at a time.
  if (sent < this->busy_since + this->options.settle) return;
  this->narrow_until = now + this->options.narrow_duration;
  if (now >= this->paused_until) this->Pause(delay, now);
}

void CongestionDetector::Pause(Duration delay, Instant now) {
  this->paused_until = now + std::min(delay * this->options.pause_factor, this->options.max_pause);
}

void CongestionDetector::OnChunkTransferred(Duration time, Instant now) {
  if (this->State(now) != LinkState::kNarrow) return;
  this->Pause(time, now);
  if (time > this->options.max_probe_delay) {
    this->narrow_until = now + this->options.narrow_duration;
  }
}

LinkState CongestionDetector::State(Instant now) const {
  if (now < this->narrow_until) return LinkState::kNarrow;
  return now < this->busy_until ? LinkState::kBusy : LinkState::kFree;
}

void CongestionDetector::Reset() {
  this->probes.clear();
  this->busy_until = {};
  this->narrow_until = {};
  this->paused_until = {};
}

}  // namespace savory
