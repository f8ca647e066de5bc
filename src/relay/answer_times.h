// How long answers take, by route.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "relay/routing_index.h"

namespace savory {

struct AnswerTimesOptions {
  // Each answer lowers the remembered maximum by this fraction, so that one exception is forgotten.
  double decay = 0.01;
  std::size_t max_routes = 4096;  // further routes are not remembered
};

// Performs no I/O.
class AnswerTimes {
 public:
  explicit AnswerTimes(AnswerTimesOptions options = {}) : options(options) {}

  // A complete answer took `time` from the attempt's start.
  void Add(std::string_view route, Duration time);
  // The longest time of the recent answers; nullopt if there were none.
  std::optional<Duration> Longest(std::string_view route) const;

 private:
  AnswerTimesOptions options;
  TextMap<double> longest_seconds = {};  // by route
};

}  // namespace savory
