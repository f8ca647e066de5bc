// Metrics of the requests at one entry.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/time.h"
#include "routing/request_events.h"

namespace savory {

class Counter;
class Histogram;
class Metrics;

// Keeps histograms and counters by client account and request class, and counters by outcome and
// error kind.
class RequestMetrics {
 public:
  explicit RequestMetrics(Metrics& metrics);

  // Sets the accounts that have series of their own: those with a limit of their own. All others
  // share the series "other", so that arbitrary account names in requests cannot exhaust the
  // memory.
  void SetAccounts(std::set<std::string> accounts);
  void Add(const MeasureRequest& measured);
  // Records the time between two consecutive parts of an answer.
  void AddPartGap(const std::string& account, const std::string& request_class, Duration gap);

 private:
  struct Series {
    Histogram* queued;
    Histogram* first_part;
    Histogram* part_gap;
    Histogram* total;
    Counter* attempts;
    Counter* requests;
    Counter* sent;  // requests with at least one attempt
  };

  Series& SeriesFor(const std::string& account, const std::string& request_class);

  Metrics& metrics;
  std::set<std::string> accounts = {};
  std::map<std::pair<std::string, std::string>, Series> series_by_key = {};
};

}  // namespace savory
