// How much each entry sends, as the entries tell one another.
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
  std::string entry = {};  // identity of this one
  std::string data_centre = {};
  Duration report_period = std::chrono::seconds(1);
  // Weight of the latest period in the rate: a burst doubles an entry's share within two periods.
  double newest_weight = 0.5;
  // An entry that told nothing for this long has no share: three messages in a row are missing.
  Duration report_timeout = std::chrono::milliseconds(3200);
  // Entries that are silent for so long are forgotten in any case.
  Duration retention = std::chrono::seconds(12);
};

// No I/O. Every entry divides the places of the engines by the rates that were told, its own
// included, so that all of them divide alike.
class EntryDemandTracker {
 public:
  explicit EntryDemandTracker(EntryDemandTrackerOptions options);

  // `requests`: that arrived here since the start. Returns the rate to tell the other entries; call
  // every `report_period`.
  double UpdateOwnRate(std::uint64_t requests, Instant now);
  // Another entry told its rate.
  void OnDemandReport(EntryDemand demand, Instant now);
  // Live entries that agents know of. One that has told no rate yet counts with the mean rate: an
  // entry that just started would otherwise take the places of all others until they tell.
  void SetLiveEntries(std::vector<std::string> entries) { this->live_entries = std::move(entries); }

  // Entries that share the places now, this one included. When most of the others fall silent
  // together it is this entry that is cut off, so they keep their shares.
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
  std::map<std::string, Report> others = {};  // by entry
  std::vector<std::string> live_entries = {};
};

}  // namespace savory
