#include "relay/engine_forecast.h"

#include <algorithm>

namespace savory {
namespace {

double PrefillSeconds(const EngineRates& rates, double tokens) {
  const double pairs = tokens * tokens / 2 / 1e6;
  return tokens / rates.prefill_tokens_per_second +
         pairs * rates.attention_seconds_per_million_pairs;
}

}  // namespace

Duration PrefillTime(const EngineRates& rates, double tokens) {
  return FromSeconds(PrefillSeconds(rates, tokens));
}

Duration EventTime(const EngineRates& rates, double running) {
  const double context_thousands =
      running * (rates.mean_prompt_tokens + rates.mean_answer_tokens / 2.0) / 1000;
  const double step = ToSeconds(rates.step) + running * ToSeconds(rates.step_per_request) +
                      context_thousands * ToSeconds(rates.step_per_1000_context);
  return FromSeconds(step * rates.steps_per_event);
}

Duration SlotInterval(const EngineRates& rates) {
  const double events =
      static_cast<double>(rates.mean_answer_tokens) / std::max(1u, rates.steps_per_event);
  const double decode = events * ToSeconds(EventTime(rates, rates.slots));
  const double prefill = rates.slots * PrefillSeconds(rates, rates.mean_prompt_tokens);
  return FromSeconds((decode + prefill) / std::max(1u, rates.slots));
}

EngineForecast Forecast(const EngineRates& rates, const EngineWork& work,
                        std::uint32_t prompt_tokens) {
  const double running = std::min<double>(work.requests, rates.slots);
  const double event = ToSeconds(EventTime(rates, running + 1));
  const double own_prefill = PrefillSeconds(rates, prompt_tokens);
  const double prefill = PrefillSeconds(rates, work.prefill_tokens) + own_prefill;
  const double queued = std::max(0.0, work.requests - rates.slots + 1);
  const double waiting = queued * ToSeconds(SlotInterval(rates));
  const double event_wait = work.requests < 1 ? 0 : event / 2;
  return EngineForecast{
      .first_event = FromSeconds((waiting + event_wait + prefill + event) * work.pace),
      .longest_pause = FromSeconds((event + prefill) * work.pace)};
}

}  // namespace savory
