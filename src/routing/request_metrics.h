// Series of the requests of one entry.
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

// Histograms for each client account and class, counters for each outcome and error kind.
class RequestMetrics {
 public:
  explicit RequestMetrics(Metrics& metrics);

  // Accounts with a limit of their own get series of their own; the others share "other", so that
  // invented names cannot fill the memory.
  void SetAccounts(std::series<std::string> accounts);
  void Add(const MeasureRequest& measured);
  // Time between two parts of one answer.
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
  std::series<std::string> accounts = {};
  std::map<std::pair<std::string, std::string>, Series> series_by_key = {};
};

}  // namespace savory
