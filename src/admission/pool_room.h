// Decides how much of one pool's room each priority may take.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "admission/class_demand.h"
#include "base/time.h"

namespace savory {

struct PoolRoomOptions {
  Duration update_period = std::chrono::milliseconds(250);
  // Rates cover about this time.
  Duration averaging_time = std::chrono::milliseconds(700);
  // Room is taken from less urgent classes while a more urgent one lacks more than `high` of what
  // it asks for, and given back while none lacks more than `low`.
  double high = 0.03;
  double low = 0.015;
  // At most this part of one class's room is taken or given back in an update.
  double max_rise = 0.25;
  double max_fall = 0.04;
  // A class that may take less than all the room is sent only to upstreams whose load, relative to
  // their slots, lies under a limit between these two.
  double widest_limit = 1.25;
  double narrowest_limit = 0.65;
  // Of the first attempts of a class whose room was taken, this part is admitted all the same.
  double floor = 0.4;
  // A class with fewer requests than this part of all does not count as lacking.
  double min_share = 0.02;
};

// Performs no I/O. All entries compute the level from the same reports, so they lower the same
// classes together. The level counts the classes whose room was taken, the least urgent first: 1.5
// means all of the least urgent one's and half of the next one's.
class PoolRoom {
 public:
  explicit PoolRoom(PoolRoomOptions options) : options(options) {}

  // Counts a first attempt. Returns whether it is admitted within the floor of its class.
  bool OnAsked(int priority);
  void OnRefused(int priority);
  // `others`: what the other entries report. Returns whether the level began or ceased to be above
  // zero, or passed a whole class.
  bool Update(const ClassDemands& others, Instant now);

  // The load relative to the slots under which an upstream may be used; nullopt: no limit.
  std::optional<double> LoadLimit(int priority) const;
  double Level() const { return this->level; }
  // Demand of this entry.
  const ClassDemands& Own() const { return this->own; }
  // The part of this entry's demand that the level admits.
  double AdmittedFraction() const;
  // The most urgent class that lacked room at the last update; nullopt: none.
  std::optional<std::size_t> LackingClass() const { return this->lacking; }
  // Whether callers of several priorities ask for the pool.
  bool HasSeveralClasses() const { return this->asking > 1; }

 private:
  void UpdateOwnRates(Duration elapsed);
  // How much of class `index` was taken, 0 to 1.
  double TakenOf(std::size_t index) const;

  PoolRoomOptions options;
  std::array<ClassDemand, kPriorityClasses> counts = {};  // since the last update
  ClassDemands own = {};
  std::array<bool, kPriorityClasses> present = {};  // classes that someone asks for
  std::array<double, kPriorityClasses> credit = {};
  std::size_t asking = 0;
  double level = 0;
  std::optional<std::size_t> lacking = {};
  Instant updated_at = {};
};

}  // namespace savory
