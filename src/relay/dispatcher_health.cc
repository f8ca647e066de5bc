// The part of Dispatcher that judges engines by the ends of attempts there.
#include "relay/dispatcher.h"
#include "relay/upstream_keys.h"

namespace savory {

std::uint64_t Dispatcher::LastNamed(const UpstreamState& state) {
  const bool is_passed_on =
      state.passed_on && (!state.report || state.passed_on_at > *state.reported_at);
  if (is_passed_on) return state.passed_on->weights_version;
  return state.report ? state.report->weights_version : 0;
}

void Dispatcher::TakeBackFailures(UpstreamState& state, std::uint64_t weights, Instant now) {
  if (const auto before = state.doubtful.OnWeights(weights, now)) state.health.TakeBack(*before);
}

std::optional<HealthChange> Dispatcher::Judge(UpstreamState& state, AttemptResult result,
                                              Instant now) {
  const bool refuses = this->HasReport(state, now)
                           ? !state.report->accepting
                           : this->words.IsRefusing(StartOf(state.upstream), now);
  const std::uint64_t weights = LastNamed(state);
  // An engine that loads new weights aborts its requests, which does not count as a failure.
  if (refuses && weights == 0 && result != AttemptResult::kServed) {
    result = AttemptResult::kCancelled;
  }
  if (refuses && IsFailure(result)) state.doubtful.OnFailure(state.health, weights, now);
  const bool was_half_open = state.health.IsHalfOpen();
  const Instant until_before = state.health.EjectedUntil();
  state.health.OnEnded(result, now, this->random);
  HealthChange change{.upstream = state.upstream.id, .failure_rate = state.health.FailureRate()};
  if (state.health.EjectedUntil() != until_before) {
    change.ejected = true;
    change.ejected_for = state.health.EjectedUntil() - now;
    return change;
  }
  if (was_half_open && !state.health.IsHalfOpen()) return change;
  return {};
}

}  // namespace savory
