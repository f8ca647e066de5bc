#include "distribution/load_controller.h"

#include <algorithm>

namespace savory {

LoadController::LoadController(LoadControllerOptions options, Random& random)
    : options(std::move(options)), random(random), retry_delay(this->options.first_retry) {}

std::vector<LoadAction> LoadController::Handle(Instant now, const LoadEvent& event) {
  std::visit([&](const auto& item) { this->On(now, item); }, event);
  this->Advance(now);
  return std::exchange(this->actions, {});
}

void LoadController::On(Instant now, const LoadTargetChanged& event) {
  const bool changed = event.manifest != this->wanted.manifest;
  this->wanted = event;
  if (!changed) return;
  this->retry_at = now;
  this->retry_delay = this->options.first_retry;
  if (this->step == Step::kDraining) this->EndLoad(now, false);
}

void LoadController::On(Instant, const WeightsComplete& event) {
  this->complete_manifest = event.manifest;
}

void LoadController::On(Instant now, const EngineReported& event) {
  this->engine = event;
  this->unreachable_since.reset();
  if (event.asked < this->response_received) return;
  if (this->unanswered) this->SettleUnanswered(now);
  if (this->step == Step::kLoading && !this->unanswered) this->FinishLoad(now);
}

void LoadController::On(Instant now, const EngineUnreachable&) {
  this->engine.reset();
  if (this->unanswered) this->unanswered->alive_since.reset();
  if (!this->unreachable_since) this->unreachable_since = now;
  const bool gone = now - *this->unreachable_since >= this->options.lease_ttl;
  if (this->step == Step::kLoading && gone) this->EndLoad(now, true);
}

LoadController::Settlement LoadController::ObserveUnanswered(Instant now) {
  UnansweredRequest& request = *this->unanswered;
  const EngineReported& report = *this->engine;
  if (report.loading == request.manifest || report.loaded == request.manifest) {
    return Settlement::kCarriedOut;
  }
  const bool restarted = request.incarnation != 0 && report.incarnation != 0 &&
                         report.incarnation != request.incarnation;
  if (restarted) return Settlement::kGone;
  if (report.incarnation != 0) request.incarnation = report.incarnation;
  const bool gap = now - request.last_report > this->options.max_report_gap;
  if (!request.alive_since || gap) request.alive_since = now;
  request.last_report = now;
  const Duration latest_begin = request.deadline + this->options.lease_margin;
  return now >= *request.alive_since + latest_begin ? Settlement::kGone : Settlement::kOpen;
}

void LoadController::SettleUnanswered(Instant now) {
  const Settlement settlement = this->ObserveUnanswered(now);
  if (settlement == Settlement::kOpen) return;
  this->unanswered.reset();
  if (settlement == Settlement::kGone && this->step == Step::kLoading) this->EndLoad(now, true);
}

void LoadController::FinishLoad(Instant now) {
  if (!this->engine->loading.IsZero()) return;
  this->EndLoad(now, this->engine->loaded != this->requested.manifest);
}

void LoadController::On(Instant now, const LeaseGranted& event) {
  if (event.call != this->call.id || this->step != Step::kAcquiring) return;
  const Instant started = this->call.started;
  this->lease =
      Lease{.name = this->call.lease,
            .fence = event.fence,
            .usable_until = started + this->options.lease_ttl - this->options.lease_margin,
            .next_renewal = started + this->options.renew_every};
  this->call = {};
  const bool too_late = now >= this->lease->usable_until;
  if (too_late || !this->NeedsLoad()) {
    this->EndLoad(now, too_late);
    return;
  }
  // An idle check made before the gate closed does not count.
  this->idle = false;
  this->step = Step::kDraining;
}

void LoadController::On(Instant now, const LeaseNotGranted& event) {
  if (event.call != this->call.id || this->step != Step::kAcquiring) return;
  this->call = {};
  this->step = Step::kWaiting;
  this->ScheduleRetry(now);
}

void LoadController::On(Instant, const LeaseRenewed& event) {
  if (event.call != this->call.id || !this->lease) return;
  this->lease->usable_until =
      this->call.started + this->options.lease_ttl - this->options.lease_margin;
  this->lease->next_renewal = this->call.started + this->options.renew_every;
  this->call = {};
}

void LoadController::On(Instant now, const LeaseLost& event) {
  if (event.call != this->call.id) return;
  this->call = {};
  this->lease.reset();
  // A load that was requested under the lease is not repeated; its result is read from the engine.
  if (this->step == Step::kDraining) this->EndLoad(now, true);
}

void LoadController::On(Instant now, const RenewalFailed& event) {
  if (event.call != this->call.id || !this->lease) return;
  this->call = {};
  this->lease->next_renewal = now + this->options.first_retry;
}

void LoadController::On(Instant now, const LoadResponseReceived& event) {
  if (this->step != Step::kRequesting) return;
  this->response_received = now;
  // A request that was not sent tells nothing about an earlier one.
  const bool open = event.answer == LoadResponse::kUnknown ||
                    (event.answer == LoadResponse::kNotSent && this->unanswered);
  if (open) {
    this->KeepUnanswered(now, event.answer == LoadResponse::kUnknown);
    return;
  }
  // An answer holds for earlier requests as well: an engine that has accepted the weights or
  // refused the fencing number does the same with them.
  this->unanswered.reset();
  if (event.answer == LoadResponse::kAccepted) {
    this->step = Step::kLoading;
    return;
  }
  this->EndLoad(now, true);
}

void LoadController::KeepUnanswered(Instant now, bool sent) {
  this->step = Step::kLoading;
  if (!this->unanswered) this->unanswered = UnansweredRequest{.manifest = this->requested.manifest};
  UnansweredRequest& request = *this->unanswered;
  if (request.fence != this->requested.fence) {
    request.fence = this->requested.fence;
    request.repeat_until = now + this->options.lease_ttl;
  }
  request.next_repetition = now + this->options.first_retry;
  if (!sent) return;
  request.deadline = std::max(request.deadline, this->requested.deadline);
  request.incarnation = 0;
  request.alive_since.reset();
}

void LoadController::On(Instant, const LoadTick& event) { this->idle = event.idle; }

bool LoadController::NeedsLoad() const {
  const Digest& manifest = this->wanted.manifest;
  if (manifest.IsZero() || this->complete_manifest != manifest || !this->engine) return false;
  // The engine may still carry out a request for other weights at the same time.
  if (this->unanswered && this->unanswered->manifest != manifest) return false;
  // The engine may still execute a load that the agent's previous incarnation requested.
  return this->engine->loading.IsZero() && this->engine->loaded != manifest;
}

void LoadController::Advance(Instant now) {
  if (this->step == Step::kWaiting) {
    if (this->NeedsLoad() && now >= this->retry_at) this->Acquire(now);
    return;
  }
  if (this->step == Step::kAcquiring) {
    // The reply to the call may never arrive; a lease that was granted then expires.
    if (now >= this->call.started + this->options.lease_ttl) {
      this->call = {};
      this->step = Step::kWaiting;
      this->ScheduleRetry(now);
    }
    return;
  }
  if (this->lease && now >= this->lease->usable_until) {
    this->lease.reset();
    this->call = {};
  }
  if (this->step == Step::kDraining && !this->lease) {
    this->EndLoad(now, true);
    return;
  }
  // The engine may have changed while its requests ended.
  if (this->step == Step::kDraining && !this->NeedsLoad()) {
    this->EndLoad(now, false);
    return;
  }
  if (this->step == Step::kDraining && this->idle) this->SendLoad(now);
  if (this->step == Step::kLoading && this->unanswered) this->RepeatLoad(now);
  const bool overdue =
      this->step == Step::kLoading && now >= this->response_received + this->options.max_load_time;
  if (overdue) this->ReleaseLease();
  this->Renew(now);
}

void LoadController::Acquire(Instant now) {
  this->step = Step::kAcquiring;
  this->call = LeaseCall{.id = this->next_call++, .started = now, .lease = this->SlotName()};
  this->actions.push_back(AcquireSlot{.call = this->call.id, .lease = this->call.lease});
}

void LoadController::Renew(Instant now) {
  if (!this->lease || this->call.id != 0 || now < this->lease->next_renewal) return;
  this->call = LeaseCall{.id = this->next_call++, .started = now, .lease = this->lease->name};
  this->lease->next_renewal = now + this->options.renew_every;
  this->actions.push_back(
      RenewSlot{.call = this->call.id, .lease = this->lease->name, .fence = this->lease->fence});
}

void LoadController::RepeatLoad(Instant now) {
  const UnansweredRequest& request = *this->unanswered;
  const bool due = now >= request.next_repetition && now < request.repeat_until;
  if (due && this->engine && this->lease && request.manifest == this->wanted.manifest) {
    this->SendLoad(now);
  }
}

void LoadController::SendLoad(Instant now) {
  this->step = Step::kRequesting;
  this->requested = StartLoad{.manifest = this->wanted.manifest,
                              .fence = this->lease->fence,
                              .deadline = this->lease->usable_until - now,
                              .not_after = this->lease->usable_until};
  this->actions.push_back(this->requested);
}

void LoadController::ReleaseLease() {
  if (this->lease) {
    this->actions.push_back(ReleaseSlot{.lease = this->lease->name, .fence = this->lease->fence});
  }
  this->lease.reset();
  this->call = {};
}

void LoadController::EndLoad(Instant now, bool failed) {
  this->ReleaseLease();
  this->step = Step::kWaiting;
  if (failed) {
    this->ScheduleRetry(now);
  } else {
    this->retry_delay = this->options.first_retry;
  }
}

void LoadController::ScheduleRetry(Instant now) {
  const double jitter = 0.5 + UniformUnit(this->random);
  this->retry_at = now + FromSeconds(ToSeconds(this->retry_delay) * jitter);
  this->retry_delay = std::min(this->options.max_retry, this->retry_delay * 2);
}

std::string LoadController::SlotName() const {
  const std::uint64_t slots = std::max<std::uint32_t>(1, this->wanted.max_loading);
  const std::uint64_t slot = RendezvousScore("load-slot", this->options.vm) % slots;
  return "load/" + this->wanted.pool + "/" + std::to_string(slot);
}

}  // namespace savory
