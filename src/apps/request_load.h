// Load generator of the experiment "requests", which records the outcome that each caller receives.
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

// Requests of one kind, sent at a constant rate by callers that do not wait for each other.
struct LoadSource {
  std::string account;
  double rate = 0;            // requests per second
  double non_idempotent = 0;  // fraction of the requests
  double keyed = 0.5;         // fraction of the non-idempotent ones with an Idempotency-Key
  int callers = 64;           // threads
  bool poison = false;        // sends the same request each time, which crashes its upstream
  int stream_parts = 0;       // above 0: each answer is a stream of this many parts
  int part_ms = 0;            // time between two parts of a stream
};

enum class ReportedOutcome { kAnswered, kNotRun, kUnknown, kRejected, kNoAnswer };

// One request of a caller and the outcome that was reported to it.
struct RequestRecord {
  std::string key;
  std::string account;
  bool non_idempotent = false;
  bool keyed = false;
  bool poison = false;
  int stream_parts = 0;
  int part_ms = 0;
  bool is_retry = false;  // second request with the same Idempotency-Key
  ReportedOutcome outcome = ReportedOutcome::kNoAnswer;
  bool wrong_answer = false;  // the answer does not belong to this request
  std::string error = {};
  double millis = 0;
  Instant sent = {};
  Instant ended = {};
};

// A caller's keep-alive connection. It is reused for a while, as load balancers do, and closed
// before the entry would close it.
struct PersistentClient {
  std::unique_ptr<HttpClient> client = {};
  Instant last_used = {};
};

// Sends requests to the entries and, for comparison, direct calls to the services.
class RequestLoad {
 public:
  // `choose_entry` returns the IP:PORT of the entry to send to, in the role of the platform's load
  // balancer. With `keep_alive`, callers reuse their connections.
  RequestLoad(std::function<std::string()> choose_entry, bool keep_alive);

  // Sends requests for `length`, then waits for the last answers.
  void Run(const std::vector<LoadSource>& sources, Duration length);
  // Calls `services` directly, one call at a time, until Run() has ended.
  void MeasureDirectCalls(const std::vector<std::string>& services);

  const std::vector<RequestRecord>& Records() const { return this->records; }
  // Returns the duration of each answered direct call, in milliseconds.
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

// Returns the quantile `share` (from 0 to 1) of `values`; 0 without values.
double QuantileOf(std::vector<double> values, double share);

}  // namespace savory
