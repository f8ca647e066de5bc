// Predicts the latency of a request that is sent to an engine now.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "relay/routing_rules.h"

namespace savory {

// Work on an engine, as far as an entry knows it.
struct EngineWork {
  double requests = 0;        // running and queued requests
  double prefill_tokens = 0;  // prompt tokens of requests that have no first event yet
  double pace = 1;            // slowdown factor; above 1: slower than the published rates
};

struct EngineForecast {
  Duration first_event = {};    // time from now
  Duration longest_pause = {};  // between two events while the current prompts are processed
};

// Time to process a prompt of `tokens` tokens (prefill).
Duration PrefillTime(const EngineRates& rates, double tokens);

// Time to generate one stream event while `running` requests are decoded.
Duration EventTime(const EngineRates& rates, double running);

// Mean time between two slots becoming free on a full engine.
Duration SlotInterval(const EngineRates& rates);

// Predicts the latency of a request of `prompt_tokens` that is added to `work`. An engine generates
// one event for all running requests, then processes prompts. So a new request waits for half an
// event, the prefill of the prompts before it and of its own, and one event.
EngineForecast Forecast(const EngineRates& rates, const EngineWork& work,
                        std::uint32_t prompt_tokens);

}  // namespace savory
