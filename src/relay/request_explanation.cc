#include "relay/request_explanation.h"

#include <algorithm>

#include "relay/dispatcher.h"
#include "relay/request_terms.h"
#include "relay/routing_index.h"

namespace savory {
namespace {

constexpr std::size_t kMaxEvacuatedListed = 20;

// As Relay::Serve() answers it.
std::optional<EarlyRefusal> RefusalByHead(const ExplanationBasis& basis, const RouteRule* route,
                                          const AccountRule* account) {
  if (basis.stopping) return EarlyRefusal{.reason = "stopping", .retry_after = Duration(0)};
  if (basis.rules == nullptr) {
    return EarlyRefusal{.reason = "no rules known", .retry_after = basis.unconfigured_retry_after};
  }
  if (route == nullptr) return EarlyRefusal{.status = 404, .reason = "no route"};
  if (account == nullptr && basis.rules->NeedsApiKey(*route)) {
    return EarlyRefusal{.status = 401, .reason = "unknown API key"};
  }
  return std::nullopt;
}

// As RelayedRequest makes it.
DispatchRequest FirstAttempt(const RequestQuestion& question, const RouteRule& route,
                             const AccountRule* account, Instant now) {
  const Instant deadline = now + question.time_left.value_or(route.timeout);
  return {.arrived = now,
          .target = route.target_latency,
          .deadline = std::min(deadline, now + route.timeout),
          .caller_deadline = deadline,
          .priority = PriorityOf(route, account),
          .prompt_tokens = question.prompt_tokens,
          .answer_tokens = question.answer_tokens,
          .max_pause = MaxPauseOf(route),
          .may_probe = MayRerun(FirstHistoryOf(route)),
          .homes = HomesOf(route, account),
          .body_bytes = question.body_bytes};
}

// The route's pools with the part of its requests that each gets.
std::vector<PoolExplanation> PoolParts(const RouteRule& route) {
  double total = 0;
  for (const PoolShare& share : route.pools) total += share.weight;
  std::vector<PoolExplanation> parts;
  if (route.pools.empty()) return {{.part = 1}};
  if (total == 0) return {{.pool = route.pools.front().pool, .part = 1}};
  for (const PoolShare& share : route.pools) {
    if (share.weight > 0) parts.push_back({.pool = share.pool, .part = share.weight / total});
  }
  return parts;
}

void AddEvacuated(RequestExplanation& explanation, const Placement& places) {
  for (const std::string& data_centre : places.Evacuated()) {
    if (explanation.evacuated.size() < kMaxEvacuatedListed) {
      explanation.evacuated.push_back(data_centre);
    } else {
      ++explanation.evacuated_left_out;
    }
  }
}

}  // namespace

std::string_view RefusalReason(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kNoUpstream:
      return "no upstream";
    case ErrorKind::kOutsideHomes:
      return "no upstream in a home region";
    default:
      return "overloaded";
  }
}

RequestExplanation ExplainRequest(const RequestQuestion& question, const ExplanationBasis& basis,
                                  Instant now) {
  RequestExplanation explanation;
  AddEvacuated(explanation, basis.dispatcher.Places());
  const RouteRule* route = nullptr;
  const AccountRule* account = nullptr;
  if (basis.rules != nullptr) {
    explanation.rules_version = basis.rules->Version();
    route = basis.rules->FindRoute(question.host, question.path);
    account = basis.rules->FindAccount(question.api_key);
  }
  if (account != nullptr) explanation.account = account->name;
  if (route != nullptr) {
    explanation.route = route->name;
    explanation.kind = route->kind;
    explanation.priority = PriorityOf(*route, account);
    explanation.homes = HomesOf(*route, account).Text();
    explanation.target = route->target_latency;
  }
  explanation.refusal = RefusalByHead(basis, route, account);
  if (explanation.refusal) return explanation;

  explanation.returned = question.returned || basis.is_caller_retry(*route, question.time_left);
  DispatchRequest request = FirstAttempt(question, *route, account, now);
  request.is_caller_retry = explanation.returned;
  if (EndsAfterStop(FirstHistoryOf(*route), request.deadline, basis.usual_answer(route->name),
                    basis.stop_end, now)) {
    explanation.refusal = EarlyRefusal{.reason = "stopping", .retry_after = Duration(0)};
    return explanation;
  }
  explanation.pools = PoolParts(*route);
  if (explanation.pools.size() > kMaxExplainedPools) {
    explanation.pools_left_out = explanation.pools.size() - kMaxExplainedPools;
    explanation.pools.resize(kMaxExplainedPools);
  }
  for (PoolExplanation& part : explanation.pools) {
    request.pool = part.pool;
    part.dispatch = basis.dispatcher.Explain(request, now, question.max_upstreams);
  }
  return explanation;
}

}  // namespace savory
