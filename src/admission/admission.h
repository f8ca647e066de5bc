// Decides which callers get the room that there is when several priorities compete for a pool.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "admission/class_demand.h"
#include "admission/pool_room.h"
#include "base/time.h"

namespace savory {

// A change of the level of a pool, see PoolRoom.
struct AdmissionChange {
  std::string pool = {};
  double level = 0;
  std::optional<std::size_t> lacking = {};  // the priority class that it is for
};

// Performs no I/O. Pools whose callers all have one priority are left alone.
class Admission {
 public:
  explicit Admission(PoolRoomOptions options = {}) : options(options) {}

  // Counts a first attempt. Returns whether it is admitted within the floor of its class.
  bool OnAsked(std::string_view pool, int priority);
  void OnRefused(std::string_view pool, int priority);
  // Whether a request may go to an upstream with `load` requests for each slot.
  bool MayTake(std::string_view pool, int priority, double load) const;
  // Whether the room for this priority is limited in favour of more urgent ones.
  bool IsLimited(std::string_view pool, int priority) const;
  bool HasSeveralClasses(std::string_view pool) const;
  double Level(std::string_view pool) const;

  // `others`: reports of the other entries. Does nothing more often than PoolRoomOptions say.
  void Update(std::span<const PoolDemands* const> others, Instant now);
  // Changes since the last call, for the log.
  std::vector<AdmissionChange> TakeChanges();

  // Demand of this entry, to report to the others.
  PoolDemands Own() const;
  // The part of this entry's demand that the levels admit. Its share of the engines is in
  // proportion to this part, so that room goes to the entries with urgent requests.
  double AdmittedFraction() const;

 private:
  PoolRoomOptions options;
  std::map<std::string, PoolRoom, std::less<>> pools = {};  // engine pools, by name
  std::vector<AdmissionChange> changes = {};
};

}  // namespace savory
