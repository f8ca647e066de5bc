// Bounds the requests to upstreams that are cold, summed over all entries.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace savory {

struct ColdLimitOptions {
  // A cold upstream may get, in any second and from all entries together, this multiple of the rate
  // that its pool tolerates and `slack` more. 0: no limits.
  double overrun = 0;
  double slack = 0;
  // The entries divide the tolerated rate itself. The rest of the bound covers entries that divide
  // the slots by other demands. The window is longer than a second, as requests sent within more
  // than a second may arrive within one.
  Duration window = std::chrono::milliseconds(1100);
  // A process does not know what its predecessor sent, nor at first how many others there are. So
  // it sends nothing to cold upstreams within `quiet_time` of its start, and half of its part until
  // the end of the window.
  Instant started = {};
  Duration quiet_time = std::chrono::milliseconds(600);
  // Upstreams remembered at a time, listed or not. If there are more, the one that is warm first is
  // forgotten.
  std::size_t max_upstreams = 4096;
  // Data centres whose return is remembered at a time.
  std::size_t max_data_centres = 256;
};

// What the operators' pool table says of cold upstreams.
struct ColdRule {
  Duration after_start = {};       // an upstream that starts is cold for so long
  double requests_per_second = 0;  // that a cold upstream tolerates; 0: any number
};

// This entry's part of an upstream, as the entries divide the slots.
struct ColdShare {
  double fraction = 0;      // of the upstream's slots, held for the whole window; 0: none
  double gained = 0;        // beside that, since less than the window
  std::size_t entries = 1;  // that may send to it, this one included
};

// An upstream, as its record says.
struct ColdUpstream {
  std::string_view id;
  std::string_view pool;
  std::string_view data_centre;
};

// What is known of an upstream outlives its record, and may come before it or before the rules: the
// list says at the decision which pool and data centre it is in. Performs no I/O. Each entry keeps
// its own part of the bound, so that no message is needed at the moment of the decision.
class ColdLimits {
 public:
  explicit ColdLimits(ColdLimitOptions options = {}) : options(options) {}

  // A negative rate or time is a mistake: the pool keeps the rule that it has. Returns these pools.
  std::vector<std::string> SetRules(std::map<std::string, ColdRule, std::less<>> by_pool);
  // The upstream itself answered that it stays cold for `remaining`. A shorter time than known
  // replaces it.
  void SetCold(std::string_view upstream, Duration remaining, Instant now);
  // Its record says so. The record may be older than what else is known, so that it shortens
  // nothing.
  void OnRecord(std::string_view upstream, Duration remaining, Instant now);
  // The upstreams of a data centre that is taken back, listed or not, may have become cold without
  // having said so yet: they count as cold as after a start.
  void OnDataCentreReturned(std::string_view data_centre, Instant now);
  // Upstreams whose time is up are warm. Call now and then.
  void Expire(Instant now);

  bool IsCold(const ColdUpstream& upstream, Instant now) const;
  // Whether this entry may send one more request to the upstream now.
  bool MaySend(const ColdUpstream& upstream, const ColdShare& share, Instant now) const;
  // Also while the upstream counts as warm: it may have become cold without having said so yet.
  void OnSent(const ColdUpstream& upstream, Instant now);
  std::size_t Size() const { return this->cold.size(); }

 private:
  struct Cold {
    Instant until = {};
    std::deque<Instant> sent = {};  // within the window
  };

  // Until when the upstream is cold; now or before: it is warm.
  Instant UntilOf(const ColdUpstream& upstream) const;
  Cold& StateOf(std::string_view upstream);
  // Number of requests that this entry may send within the window.
  std::size_t Allowance(const ColdRule* rule, const ColdShare& share) const;
  const ColdRule* RuleOf(std::string_view pool) const;

  ColdLimitOptions options;
  std::map<std::string, ColdRule, std::less<>> rules = {};    // by pool
  std::map<std::string, Cold, std::less<>> cold = {};         // by upstream id
  std::map<std::string, Instant, std::less<>> returned = {};  // by data centre
};

}  // namespace savory
