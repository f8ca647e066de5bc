// Tracks the request rate of each entry, from the reports that the entries exchange.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "relay/slot_shares.h"

namespace savory {

struct EntryDemandTrackerOptions {
  std::string entry = {};  // identity of this entry
  std::string data_centre = {};
  // Period at which the own rate is updated, and reported if it has changed by `min_change`.
  Duration update_period = std::chrono::milliseconds(250);
  double min_change = 0.25;  // relative to the rate that was last reported
  // The rate covers about this time: long enough for some ten requests, short enough for an
  // entry's share to follow a burst within a second.
  Duration averaging_time = std::chrono::milliseconds(700);
  // An entry without a report for this many of its periods has no share: three are missing.
  double report_timeout_periods = 3.2;
  // An entry without a report for this long is removed, even while this entry is isolated.
  Duration retention = std::chrono::seconds(12);
};

// Performs no I/O. Each entry divides the engines' slots by the reported rates, its own included,
// so that all entries compute the same division.
class EntryDemandTracker {
 public:
  explicit EntryDemandTracker(EntryDemandTrackerOptions options);

  // `requests`: number of requests that arrived at this entry since its start. Returns the rate
  // to report to the other entries. Call every `update_period`.
  double UpdateOwnRate(std::uint64_t requests, Instant now);
  // Sets what the callers of this entry ask for and lack, and the part of the rate that counts for
  // its share of the slots.
  void SetOwnPools(PoolDemands pools, double counted_fraction);
  const EntryDemand& Own() const { return this->own; }
  // Whether the own rate must be reported now: it has changed, or `period` has passed since the
  // last report. If so, it counts as reported.
  bool TakeReportDue(Duration period, Instant now);
  // Records the rate that another entry reported. It reports again within `period`.
  void OnDemandReport(EntryDemand demand, Duration period, Instant now);
  // Sets the live entries that the agents know of. An entry that has not reported a rate yet counts
  // with the mean rate; otherwise an entry that just started would take the slots of all others
  // until they report.
  void SetLiveEntries(std::vector<std::string> entries) { this->live_entries = std::move(entries); }

  // Returns the entries that share the slots now, this one included. If most of the others are
  // silent at the same time, it is this entry that is isolated, so they keep their shares.
  std::vector<EntryDemand> ActiveDemands(Instant now);

 private:
  struct Report {
    EntryDemand demand;
    Duration period = {};
    Instant at = {};
  };

  EntryDemandTrackerOptions options;
  EntryDemand own;
  std::uint64_t last_request_count = 0;
  Instant rate_updated_at = {};
  double rate = 0;  // of all requests
  double reported_rate = 0;
  PoolDemands reported_pools = {};
  Instant reported_at = {};
  std::map<std::string, Report> others = {};  // by entry identity
  std::vector<std::string> live_entries = {};
};

}  // namespace savory
