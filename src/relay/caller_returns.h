// Tells the requests with which callers return after they were not served from first ones.
#pragma once

#include <span>
#include <string_view>

#include "base/time.h"
#include "relay/routing_index.h"

namespace savory {

struct CallerReturnsOptions {
  // A first request has at least this fraction of the longest time left on its route.
  double min_first_fraction = 0.82;
  // Each request lowers the remembered longest time left by this fraction, so that one exception is
  // forgotten.
  double decay = 0.01;
};

// Callers of one route mostly wait equally long, so a request with clearly less time left has been
// sent before. Callers that wait longer than most must not make all others look like that: time
// beyond the route's timeout does not count, and no more requests are taken for returns than were
// left unserved within about the timeout.
class CallerReturns {
 public:
  explicit CallerReturns(CallerReturnsOptions options = {}) : options(options) {}

  // `time_left`: that the caller will still wait, on the request's arrival.
  bool IsReturn(std::string_view route, Duration timeout, Duration time_left, Instant now);
  // What IsReturn() would say, without counting the request.
  bool LooksLikeReturn(std::string_view route, Duration timeout, Duration time_left,
                       Instant now) const;
  // A request ended without a whole answer, so its caller may return, to any entry.
  void OnUnserved(std::string_view route, Duration timeout, Instant now);
  // Forgets all other routes.
  void KeepRoutes(std::span<const RouteRule> kept);

 private:
  struct RouteState {
    Duration longest_left = {};
    double unserved = 0;  // whose callers may return, at `counted_at`
    Instant counted_at = {};
  };

  static double Unserved(const RouteState& state, Duration timeout, Instant now);

  CallerReturnsOptions options;
  TextMap<RouteState> routes = {};
};

}  // namespace savory
