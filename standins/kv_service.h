// The key-value service stand-in: calls, counts and faults.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "runtime/http.h"

namespace savory::standins {

// How the service answers a call.
enum class Delivery {
  kAnswer,
  kClose,        // the reply is lost: the connection is closed without an answer
  kNeverAnswer,  // the caller waits without an answer
};

struct KvAnswer {
  HttpReply reply = {};
  Delivery delivery = Delivery::kAnswer;
};

// Thread-safe. Calls block for the time of an injected delay or of a watch.
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
  //   lose_replies (the next N writes and lease calls take effect, their connection is closed),
  //   lose_silently (bool; these callers wait without an answer instead),
  //   key_prefix (lost replies only for keys and leases that start with it).
  // Returns all faults.
  nlohmann::json SetFaults(const nlohmann::json& change);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory::standins
