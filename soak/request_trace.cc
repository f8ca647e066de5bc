#include "soak/request_trace.h"

#include <algorithm>

namespace savory {

bool RequestTrace::RanBetween(Instant from, Instant until) const {
  return std::ranges::any_of(this->runs, [&](const TracedRun& run) {
    return run.begun <= until && (!run.ended || *run.ended >= from);
  });
}

std::string RequestTrace::Describe(const SentRequest& sent, const platform::CallerAnswer& answer,
                                   Instant ended, Instant origin) const {
  const auto at = [origin](Instant time) { return std::to_string(ToMillis(time - origin)); };
  std::string text = sent.request.attempt_id + " (" + sent.route.name + ") of " + sent.entry_vm +
                     " sent at " + at(sent.sent);
  if (this->last_byte_sent) text += ", whole at " + at(*this->last_byte_sent);
  text += ", ended at " + at(ended) + (answer.reset ? " by a reset" : "") + " with status " +
          std::to_string(answer.status) + " and " + std::to_string(answer.body.size()) +
          " bytes; arrived " + std::to_string(this->arrived_at.size()) + " times";
  for (const TracedRun& run : this->runs) {
    text += "; ran at " + run.upstream + " from " + at(run.begun) + " to " +
            (run.ended ? at(*run.ended) : "later") + (run.broke_off ? ", broke off" : "") +
            (run.interrupted ? ", interrupted for new weights" : "");
  }
  return text;
}

}  // namespace savory
