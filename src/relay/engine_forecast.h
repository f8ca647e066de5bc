// Prediction of what a request put on an engine now would experience.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "relay/routing_rules.h"

namespace savory {

// The work on an engine as far as an entry knows it.
struct EngineWork {
  double requests = 0;        // running and waiting
  double prefill_tokens = 0;  // of prompts that have no first event yet
  double pace = 1;            // above 1: slower than published
};

struct EngineForecast {
  Duration first_event = {};    // from now
  Duration longest_pause = {};  // between two events while the prompts of now are read
};

// Time that a prompt takes to be read.
Duration PrefillTime(const EngineRates& rates, double tokens);

// Time that one event of a stream takes while `running` requests write.
Duration EventTime(const EngineRates& rates, double running);

// Time from one free slot to the next on a full engine.
Duration SlotInterval(const EngineRates& rates);

// A request of `prompt_tokens` joins `work`. An engine writes one event for all running requests,
// then reads prompts, so a new request waits for half an event, the reading of the prompts before
// it and its own, and one event.
EngineForecast Forecast(const EngineRates& rates, const EngineWork& work,
                        std::uint32_t prompt_tokens);

}  // namespace savory
