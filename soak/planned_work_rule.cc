#include "soak/planned_work_rule.h"

#include <algorithm>

namespace savory {

void PlannedWorkRule::OnStopping(std::string_view vm, Instant now) {
  this->entries[std::string(vm)].stops.push_back(now);
}

void PlannedWorkRule::OnReloading(std::string_view vm, Instant now) {
  this->entries[std::string(vm)].reloads.push_back(now);
}

void PlannedWorkRule::OnSqueezed(std::string_view vm, Instant now, Duration duration) {
  this->entries[std::string(vm)].squeezes.push_back({.from = now, .until = now + duration});
}

bool PlannedWorkRule::IsExcusedAtEnd(const SentRequest& sent, const RequestTrace& trace,
                                     Instant stop) const {
  const Instant end = stop + this->limits.grace;
  const Instant last_part =
      end - FromSeconds(this->limits.last_part * ToSeconds(this->limits.grace));
  return sent.sent <= stop + this->limits.sent_in_time && trace.RanBetween(last_part, end);
}

std::optional<PlannedWorkRule::Signal> PlannedWorkRule::FindCause(const Entry& entry,
                                                                  const SentRequest& sent,
                                                                  const RequestTrace& trace,
                                                                  Instant ended) const {
  for (const Instant stop : entry.stops) {
    if (ended < stop || ended > stop + this->limits.grace + this->limits.after_grace) continue;
    if (this->IsExcusedAtEnd(sent, trace, stop)) return {};
    return Signal{.name = "SIGTERM", .at = stop};
  }
  for (const Instant reload : entry.reloads) {
    if (ended < reload || sent.sent > reload + this->limits.reload_time) continue;
    return Signal{.name = "SIGHUP", .at = reload};
  }
  return {};
}

std::optional<std::string> PlannedWorkRule::FindLoss(const SentRequest& sent,
                                                     const RequestTrace& trace,
                                                     const platform::CallerAnswer& answer,
                                                     Instant ended, bool undisrupted) const {
  const auto found = this->entries.find(sent.entry_vm);
  if (found == this->entries.end() || !undisrupted || trace.broke_off || !trace.last_byte_sent) {
    return {};
  }
  if (ended >= sent.sent + std::min(sent.route.timeout, sent.request.time_left)) return {};
  const bool late = ended > *trace.last_byte_sent + this->limits.loss_slack;
  if (trace.arrived_at.empty() && !late) return {};
  const auto cause = this->FindCause(found->second, sent, trace, ended);
  if (!cause) return {};
  const bool squeezed = std::ranges::any_of(found->second.squeezes, [&](const Squeeze& squeeze) {
    return squeeze.from <= ended && squeeze.until >= sent.sent;
  });
  return trace.Describe(sent, answer, ended, cause->at) + "; in ms since " +
         std::string(cause->name) + (squeezed ? "; with little processor time" : "");
}

}  // namespace savory
