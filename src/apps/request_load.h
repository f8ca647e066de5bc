// Callers of the experiment "requests", and the judge of what they were told.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"

namespace savory {

class HttpClient;

// One kind of requests, sent at even distances by callers that do not wait for each other.
struct LoadSource {
  std::string account;
  double rate = 0;            // requests per second
  double non_idempotent = 0;  // share of the requests
  double keyed = 0.5;         // share of the non-idempotent ones with an Idempotency-Key
  int callers = 64;           // threads
  bool poison = false;        // every request crashes its upstream; the same one each time
  int stream_parts = 0;       // above 0: streams of this many parts
  int part_ms = 0;            // time between two parts
};

enum class ReportedOutcome { kAnswered, kNotRun, kUnknown, kRejected, kNoAnswer };

// What one caller sent and was told.
struct RequestRecord {
  std::string key;
  std::string account;
  bool non_idempotent = false;
  bool keyed = false;
  bool poison = false;
  int stream_parts = 0;
  int part_ms = 0;
  bool is_retry = false;  // second request of an Idempotency-Key
  ReportedOutcome outcome = ReportedOutcome::kNoAnswer;
  bool wrong_answer = false;  // an answer that is not the one to this request
  std::string error = {};
  double millis = 0;
  Instant sent = {};
  Instant ended = {};
};

// A caller's connection. It is kept for a while, as load balancers do, and closed before the entry
// would close it.
struct PersistentClient {
  std::unique_ptr<HttpClient> client = {};
  Instant last_used = {};
};

// Sends requests to entries and direct calls to the services, for comparison.
class RequestLoad {
 public:
  // `choose_entry` returns the IP:PORT to send to, like the platform's load balancer.
  // `keep`: callers keep their connections.
  RequestLoad(std::function<std::string()> choose_entry, bool keep_alive);

  // Blocks for `length`, plus the time of the last answers.
  void Run(const std::vector<LoadSource>& sources, Duration length);
  // Calls `services` directly, one call at a time, until Run() has ended.
  void MeasureDirectCalls(const std::vector<std::string>& services);

  const std::vector<RequestRecord>& Records() const { return this->records; }
  // Milliseconds of each direct call.
  const std::vector<double>& DirectMillis() const { return this->direct_millis; }

 private:
  void RunCaller(const LoadSource& source, int source_index, std::atomic<int>& next, Instant end);
  RequestRecord Send(RequestRecord request, std::map<std::string, PersistentClient>& clients);
  void AddRecord(RequestRecord request);

  std::function<std::string()> choose_entry;
  bool keep_alive;
  std::atomic<bool> ended = false;
  std::mutex mutex;
  Instant start = {};
  std::vector<RequestRecord> records;
  std::vector<double> direct_millis;
};

// The value below which `share` of `values` lie; 0 without values.
double QuantileOf(std::vector<double> values, double share);

}  // namespace savory
