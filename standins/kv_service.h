// The key-value service stand-in: calls, counts and faults.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "runtime/http.h"

namespace savory::standins {

// What becomes of the connection of a call.
enum class Delivery {
  kAnswer,
  kClose,        // the reply is lost: close the connection without an answer
  kNeverAnswer,  // leave the caller waiting
};

struct KvAnswer {
  HttpReply reply = {};
  Delivery delivery = Delivery::kAnswer;
};

// Thread-safe. Calls block for as long as the faults or a watch demand.
class KvService {
 public:
  KvService();
  ~KvService();

  // Performs a call to /kv/... or /lease/....
  KvAnswer Handle(const HttpRequest& request);

  // Counts of calls by kind and rates: see GET /admin/stats.
  nlohmann::json Stats() const;

  // Changes the faults named in `change`, keeps the others:
  //   outage (bool), outage_silent (bool; no answer in place of 503),
  //   delay_ms (before a call takes effect), slow_after_ms (between the effect and the answer),
  //   lose_replies (the next N writes take effect, their connection is closed),
  //   lose_silently (bool; such a caller waits in vain instead),
  //   key_prefix (lost replies only for keys and leases that start with it).
  // Returns all faults.
  nlohmann::json SetFaults(const nlohmann::json& change);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory::standins
