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
  Duration report_period = std::chrono::seconds(1);
  // Weight of the latest period in the rate: a burst doubles an entry's share within two periods.
  double newest_weight = 0.5;
  // An entry without a report for this long has no share: three reports in a row are missing.
  Duration report_timeout = std::chrono::milliseconds(3200);
  // An entry without a report for this long is removed, even while this entry is isolated.
  Duration retention = std::chrono::seconds(12);
};

// Performs no I/O. Each entry divides the engines' slots by the reported rates, its own included,
// so that all entries compute the same division.
class EntryDemandTracker {
 public:
  explicit EntryDemandTracker(EntryDemandTrackerOptions options);

  // `requests`: number of requests that arrived at this entry since its start. Returns the rate to
  // report to the other entries. Call every `report_period`.
  double UpdateOwnRate(std::uint64_t requests, Instant now);
  // Records the rate that another entry reported.
  void OnDemandReport(EntryDemand demand, Instant now);
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
    Instant at = {};
  };

  EntryDemandTrackerOptions options;
  EntryDemand own;
  std::uint64_t last_request_count = 0;
  Instant rate_updated_at = {};
  std::map<std::string, Report> others = {};  // by entry identity
  std::vector<std::string> live_entries = {};
};

}  // namespace savory
