// Tells operators what Dispatcher would decide for a request, and why.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "relay/dispatch_types.h"

namespace savory {

// Why an upstream is no candidate for a request: the first that applies.
enum class CandidateBar : std::uint8_t {
  kNone,
  kOutsideHomes,     // its region is none of the request's homes
  kEvacuated,        // operators want nothing sent to its data centre
  kDraining,         // its record says that it leaves
  kRefusing,         // its agent says, or said last, that it takes no requests
  kWithoutWeights,   // it holds none
  kOutdatedWeights,  // a newer version is mandatory
  kLeaving,          // it said itself that it leaves
  kWaiting,          // it asked for no requests for a while
  kEjected,          // its attempts failed
  kCold,             // this entry's part of the rate that it tolerates is used up
  kNotFollowed,      // another entry's: this one does not follow its load
  kSilent,           // neither its agent nor an answer was heard
  kOther,
};

std::string_view CandidateBarName(CandidateBar bar);

// An upstream of the request's pool, as the decision finds it.
struct UpstreamView {
  std::string id = {};
  std::string data_centre = {};
  CandidateBar bar = CandidateBar::kNone;
  // Until an ejection or a wait that it asked for ends; 0: none.
  Duration usable_in = {};
  bool is_chosen = false;
  bool has_room = false;  // of a candidate: for this request, within the caller's limits
  bool is_cold = false;
  bool is_half_open = false;  // no attempt has succeeded since its ejection
  std::uint32_t slots = 0;
  std::uint32_t share = 0;       // slots that belong to this entry
  std::uint32_t confirmed = 0;   // those that may be used already
  std::uint32_t own = 0;         // requests of this entry
  std::uint32_t borrowable = 0;  // other entries' slots that this one may use
  double load = 0;               // requests there
  double failure_rate = 0;
  std::uint64_t weights_version = 0;
  Duration report_age = {};  // negative: no report of its load
  // Forecast for this request.
  Duration first_event = {};
  Duration longest_pause = {};
  Duration score = {};  // by which candidates of one side are ranked; the lowest is the best
};

struct DispatchExplanation {
  DispatchVerdict verdict = {};  // without an attempt
  // Candidates were compared in a random order: another request may go to another one of them.
  bool by_draw = false;
  bool yields = false;  // more urgent requests wait for the pool: this one waits behind them
  // A request that waits for room is refused after `waits_for`, so if nothing changes.
  Duration waits_for = {};
  std::optional<RefuseRequest> after_wait = {};
  bool room_limited = false;  // room is kept for more urgent requests
  std::size_t upstreams = 0;  // of the pool
  std::size_t candidates = 0;
  std::size_t with_room = 0;  // of the candidates
  std::size_t cold = 0;       // of the upstreams
  std::map<CandidateBar, std::size_t> barred = {};
  // The chosen one, then candidates with room, others, and upstreams that are none, each by score.
  std::vector<UpstreamView> views = {};
  std::size_t views_left_out = 0;
};

}  // namespace savory
