// Tells whether an upstream that was heard has fallen silent.
#pragma once

#include <chrono>
#include <optional>

#include "base/time.h"

namespace savory {

struct UpstreamSilenceOptions {
  // Agents report more often than this.
  Duration limit = std::chrono::milliseconds(1500);
  // The platform removes an upstream whose machine stands still for this long: if it is still
  // listed, only its agent has ended.
  Duration agent_end = std::chrono::seconds(10);
};

// One start of an upstream. It is silent if its agent reported once and neither the agent nor an
// answer has been heard for a while: its machine may stand still, and would carry out as it wakes
// what it was sent meanwhile. Where no agent is expected to report, silence says nothing.
class UpstreamSilence {
 public:
  explicit UpstreamSilence(UpstreamSilenceOptions options = {}) : options(options) {}

  void OnReport(Instant now) { this->reported_at = now; }
  // The agent reports to this entry no more.
  void OnUnfollowed() { this->reported_at.reset(); }
  // A byte of any answer arrived.
  void OnAnswer(Instant now) { this->answered_at = now; }

  bool IsSilent(Instant now) const;
  // Time since the last report or byte, at most `limit`, which is also returned if there was none.
  Duration Age(Instant now) const;

 private:
  UpstreamSilenceOptions options;
  std::optional<Instant> reported_at = {};
  Instant answered_at = {};
};

}  // namespace savory
