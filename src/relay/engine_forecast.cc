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
  const double writing = events * ToSeconds(EventTime(rates, rates.slots));
  const double reading = rates.slots * PrefillSeconds(rates, rates.mean_prompt_tokens);
  return FromSeconds((writing + reading) / std::max(1u, rates.slots));
}

EngineForecast Forecast(const EngineRates& rates, const EngineWork& work,
                        std::uint32_t prompt_tokens) {
  const double running = std::min<double>(work.requests, rates.slots);
  const double event = ToSeconds(EventTime(rates, running + 1));
  const double own_reading = PrefillSeconds(rates, prompt_tokens);
  const double reading = PrefillSeconds(rates, work.prefill_tokens) + own_reading;
  const double queued = std::max(0.0, work.requests - rates.slots + 1);
  const double waiting = queued * ToSeconds(SlotInterval(rates));
  const double idle_part = work.requests < 1 ? 0 : event / 2;
  return EngineForecast{
      .first_event = FromSeconds((waiting + idle_part + reading + event) * work.pace),
      .longest_pause = FromSeconds((event + reading) * work.pace)};
}

}  // namespace savory
