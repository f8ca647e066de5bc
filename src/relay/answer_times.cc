#include "relay/answer_times.h"

#include <algorithm>

namespace savory {

void AnswerTimes::Add(std::string_view route, Duration time) {
  const auto known = this->longest_seconds.find(route);
  if (known != this->longest_seconds.end()) {
    known->second = std::max(known->second * (1 - this->options.decay), ToSeconds(time));
  } else if (this->longest_seconds.size() < this->options.max_routes) {
    this->longest_seconds.emplace(route, ToSeconds(time));
  }
}

std::optional<Duration> AnswerTimes::Longest(std::string_view route) const {
  const auto known = this->longest_seconds.find(route);
  if (known == this->longest_seconds.end()) return std::nullopt;
  return FromSeconds(known->second);
}

}  // namespace savory
