// When a request leaves its data centre, and how many do.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace savory {

// Between two data centres, in both directions.
struct DataCentreWay {
  std::string from = {};
  std::string to = {};
  Duration delay = {};  // one way
};

struct LeavingOptions {
  std::string data_centre = {};  // of this entry
  std::string entry = {};        // identity of this entry
  bool enabled = true;           // off: ways are ignored, so the policy never acts
  // Strain is the part of a caller's limits (latency target, longest pause) that the predicted
  // times use. Up to this strain callers are served well near, and nothing leaves.
  double easy_strain = 0.5;
  // Above this strain near, the caller's limits are at risk, as predictions have errors.
  double late_strain = 0.8;
  // Part of these limits that leaving must save, to another data centre and, in addition, to
  // another region: the price of the bytes on the way.
  double price = 0.1;
  double region_price = 0.05;
  // A request that finds room near may leave only as one of a part of all requests. The part grows
  // by `step` in each `step_period` in which the mean strain is above `easy_strain`, and shrinks
  // when it is below `calm_strain`.
  double calm_strain = 0.4;
  double step = 0.1;
  Duration step_period = std::chrono::milliseconds(100);
  Duration strain_time = std::chrono::milliseconds(300);  // time constant of the mean strain
  // Entries act at strains that differ by up to this much, so that they do not move together.
  double entry_spread = 0.1;
  // Own upstreams' slots beyond this load are left to the entries that own them, if this entry has
  // room of its own elsewhere.
  double borrow_load = 0.6;
  // Bandwidth of the link to another region, shared by all entries of this region; 0: unknown.
  double region_bytes_per_second = 0;
  // Part of the link that requests may use that could also stay.
  double preference_link_part = 0.5;
  // An episode of leaving has ended when no request left for this long.
  Duration episode_end = std::chrono::seconds(1);
};

enum class LeavingReason {
  kStays,
  kNoneNear,  // no usable upstream is near: evacuated, down, or outside the request's homes
  kNearFull,  // no slot is free near
  kNearLate,  // the caller's limits would be missed near
  kOwnShare,  // the free slots near belong to others, and this entry owns some elsewhere
  kPays,      // the callers' limits are strained near, and much less so elsewhere
};

std::string_view LeavingReasonName(LeavingReason reason);

// The best that one side offers to a request.
struct SideOffer {
  bool usable = false;    // there is an upstream at all
  bool has_room = false;  // it has a slot for this request and keeps the caller's limits
  double strain = 0;      // with the time of the way
  bool owned = false;     // the slot belongs to this entry
  double load = 0;        // requests there, as a fraction of its slots
  std::string_view data_centre = {};
};

// Requests of a pool began to leave, or no longer do.
struct LeavingChange {
  std::string pool = {};
  bool began = false;
  LeavingReason reason = LeavingReason::kStays;  // of the first request that left
  double strain = 0;                             // mean near
  std::uint64_t left = 0;                        // requests that left since it began
  Duration lasted = {};
};

// Each entry decides alone. Which upstreams a request may use, and the order of what goes first
// (homes, evacuations), is decided before. Acts only where the ways from this entry's data centre
// are known. Performs no I/O.
class LeavingPolicy {
 public:
  explicit LeavingPolicy(LeavingOptions options = {});

  void SetWays(const std::vector<DataCentreWay>& ways);
  // `regions` maps data centres to regions. `entries` is the number of entries in this region.
  void SetRegions(const std::map<std::string, std::string>& regions) { this->regions = regions; }
  void SetEntriesOfRegion(std::size_t entries) { this->entries = entries; }
  bool IsActive() const { return !this->delays.empty(); }
  // Time of the way there and back; nullopt if it is unknown.
  std::optional<Duration> RoundTrip(std::string_view data_centre) const;

  // Whether a request stays without a look at the other data centres.
  bool Stays(std::string_view pool, const SideOffer& near, Instant now);
  // Call it for a request for which Stays() returned false. `draw` is uniform in [0, 1).
  LeavingReason Decide(std::string_view pool, const SideOffer& near, const SideOffer& far,
                       std::size_t bytes, double draw, Instant now);
  void OnLeft(std::string_view pool, std::string_view data_centre, LeavingReason reason,
              std::size_t bytes, Instant now);
  // Call it several times a second.
  std::vector<LeavingChange> TakeChanges(Instant now);
  // Part of the requests with room near that may leave.
  double PartOf(std::string_view pool) const;

 private:
  struct PoolState {
    double strain = 0;  // mean
    std::optional<Instant> strain_at = {};
    double part = 0;
    Instant step_due = {};
    std::optional<LeavingChange> episode = {};
    bool announced = false;
    Instant began_at = {};
    Instant last_left = {};
  };
  struct LinkState {
    double used_bytes = 0;  // decays with the link's bandwidth
    Instant at = {};
  };

  PoolState& StateOf(std::string_view pool);
  void AddStrain(PoolState& state, double strain, Instant now) const;
  std::string_view RegionOf(std::string_view data_centre) const;
  bool IsOtherRegion(std::string_view data_centre) const;
  bool HasWidth(std::string_view data_centre, std::size_t bytes, double part, Instant now) const;
  double LinkBytesPerSecond() const;

  LeavingOptions options;
  double easy = 0;  // `easy_strain` of this entry
  std::map<std::string, std::string> regions = {};
  std::map<std::string, Duration, std::less<>> delays = {};  // by data centre
  std::size_t entries = 1;
  std::map<std::string, PoolState, std::less<>> pools = {};
  std::map<std::string, LinkState, std::less<>> links = {};  // by region
};

}  // namespace savory
