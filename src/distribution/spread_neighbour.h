// State that a ChunkSpreader keeps about one neighbour.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace savory {

struct SpreadNeighbour {
  std::string vm;
  std::string peer;        // IP:PORT
  bool is_source = true;   // chunks may be requested from it
  bool map_known = false;  // its chunk map of the wanted manifest has arrived
  std::vector<bool> holds = {};
  std::uint32_t held = 0;
  std::size_t in_flight = 0;  // unanswered requests
  Instant busy_until = {};
  Instant avoid_until = {};
  int timeouts = 0;  // consecutive
  Instant map_requested_at = {};

  bool IsComplete() const { return this->map_known && this->held == this->holds.size(); }
  bool Holds(std::uint32_t chunk) const { return this->map_known && this->holds[chunk]; }
  bool IsUsable(Instant now, std::size_t max_in_flight) const {
    return this->is_source && this->map_known && now >= this->busy_until &&
           now >= this->avoid_until && this->in_flight < max_in_flight;
  }
};

}  // namespace savory
