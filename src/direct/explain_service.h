// Answers operators who ask where a request would go (docs/design/explain.md).
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace savory {

class HttpExchange;
class Metrics;
struct RequestExplanation;
struct RequestQuestion;

struct ExplainServiceOptions {
  std::string entry = {};  // named in answers
  double questions_per_second = 2;
  double burst = 5;
};

struct ExplainAnswer {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body = {};
  std::optional<Duration> retry_after = {};
};

// Questions that are refused, and why, are logged. What they ask is not: it may hold a key.
class ExplainService {
 public:
  using Explain = std::function<RequestExplanation(const RequestQuestion& question)>;

  ExplainService(Metrics& metrics, ExplainServiceOptions options, Explain explain);

  void Serve(HttpExchange& exchange, Instant now);
  ExplainAnswer Answer(std::string_view method, std::string_view body, Instant now);

 private:
  ExplainAnswer Refuse(int status, std::string_view reason);
  // Whether one more question may be answered; if so, it counts.
  bool TakeTurn(Instant now);

  Metrics& metrics;
  ExplainServiceOptions options;
  Explain explain;
  double turns = 0;  // questions that may be asked at `turns_at`
  Instant turns_at = {};
};

}  // namespace savory
