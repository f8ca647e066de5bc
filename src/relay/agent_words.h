// The last words of the engines' agents on whether their engines take requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "relay/routing_index.h"
#include "relay/upstream.h"
#include "relay/upstream_notices.h"

namespace savory {

struct AgentWordsOptions {
  // Engines remembered at a time. If there are more, the oldest refusal is forgotten.
  std::size_t max_engines = 4096;
  // What another entry passes on may be older than its arrival by this much: by what the entry may
  // have held it for, and by its way.
  Duration passed_on_lag = kMaxPassedOnAge + std::chrono::milliseconds(500);
  // An agent that is silent for this long is taken to be gone for good, so that its engine is not
  // lost. It is far longer than machines stand still or agents take to restart, and equals the time
  // after which an address that did not answer is tried again.
  Duration refusal_lifetime = std::chrono::seconds(30);
};

// An agent stops requests to its engine while the weights there are about to change or are not
// proven to be correct. The platform's list names the version that the engine holds, but nobody
// vouches for it: a refusal holds until a later word of an agent, directly or passed on by another
// entry. It outlives the engine's record, which expires when the machine stands still, and ends
// with the start of the engine. Performs no I/O.
class AgentWords {
 public:
  explicit AgentWords(AgentWordsOptions options = {}) : options(options) {}

  // `held`: newest weights version that the engine is known to have held before this word.
  void AddReport(const UpstreamStart& start, const EngineReport& report, std::uint64_t held,
                 Instant now);
  void AddPassedOn(const UpstreamStart& start, const EngineAvailability& passed_on,
                   std::uint64_t held, Instant now);

  // Whether the agent's last word is that the engine takes no requests.
  bool IsRefusing(const UpstreamStart& start, Instant now) const;

  std::size_t Size() const { return this->refusals.size(); }

 private:
  struct Refusal {
    std::int64_t started_unix_ms = 0;
    // Newest version held before. One that is passed on as serving with a newer version than this
    // was said to be so after the refusal.
    std::uint64_t held = 0;
    std::optional<Instant> reported_at = {};  // last refusal by the agent itself
    std::optional<Instant> passed_on_at = {};
    Instant LastAt() const;
  };

  // The refusal of this start; nullptr if there is none.
  Refusal* Find(const UpstreamStart& start);
  Refusal* FindOrAdd(const UpstreamStart& start, std::uint64_t held);
  void ForgetOldest();

  AgentWordsOptions options;
  TextMap<Refusal> refusals = {};  // by id
};

}  // namespace savory
