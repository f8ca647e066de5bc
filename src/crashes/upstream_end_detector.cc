#include "crashes/upstream_end_detector.h"

#include <algorithm>
#include <utility>

namespace savory {
namespace {

bool IsSameStart(const UpstreamProcess& a, const UpstreamProcess& b) {
  return a.id == b.id && a.started_unix_ms == b.started_unix_ms;
}

CrashRecord RecordOf(const UpstreamProcess& process, const CrashSuspect& request, Duration age) {
  return {.fingerprint = request.fingerprint,
          .parts = request.parts,
          .upstream = process.id,
          .upstream_incarnation = static_cast<std::uint64_t>(process.started_unix_ms),
          .age = age};
}

}  // namespace

std::vector<UpstreamEndAction> UpstreamEndDetector::OnConnectionLost(const UpstreamProcess& process,
                                                                     const CrashSuspect& request,
                                                                     Instant now) {
  const bool is_full = this->suspicions.size() >= this->options.max_upstreams;
  const auto known = this->suspicions.find(process.id);
  if (known == this->suspicions.end() && is_full) return {};
  Suspicion& suspicion = this->suspicions[process.id];
  const bool is_new = known == this->suspicions.end() || !IsSameStart(suspicion.process, process);
  if (is_new) suspicion = {.process = process, .lost_at = now};
  // Further requests of a process that is known to have ended.
  if (suspicion.ended) {
    return {UpstreamEnded{.process = process,
                          .evidence = "known",
                          .suspects = {RecordOf(process, request, now - suspicion.lost_at)}}};
  }
  if (suspicion.requests.size() < this->options.max_requests) {
    suspicion.requests.push_back(request);
  }
  if (!is_new) return {};
  return {ProbeUpstreamProcess{.process = process}};
}

std::vector<UpstreamEndAction> UpstreamEndDetector::OnLostAfterEnd(const UpstreamProcess& process,
                                                                   const CrashSuspect& request,
                                                                   Instant now) {
  const auto known = this->suspicions.find(process.id);
  const bool lost_before =
      known != this->suspicions.end() && IsSameStart(known->second.process, process);
  // One that was listed between two losses is confirmed; a suspicion of a later start stays.
  if (lost_before) return this->OnConnectionLost(process, request, now);
  return {UpstreamEnded{.process = process,
                        .evidence = "listed later start",
                        .suspects = {RecordOf(process, request, Duration(0))}}};
}

std::vector<UpstreamEndAction> UpstreamEndDetector::OnProbed(const UpstreamProcess& process,
                                                             ProbeResult result, Instant now) {
  this->Expire(now);
  const auto found = this->suspicions.find(process.id);
  if (found == this->suspicions.end() || !IsSameStart(found->second.process, process)) return {};
  found->second.probed = true;
  if (result != ProbeResult::kRefused || found->second.ended) return {};
  return {this->Confirm(found->second, "connection refused", now)};
}

std::vector<UpstreamEndAction> UpstreamEndDetector::OnListed(const UpstreamProcess& process,
                                                             Instant now) {
  this->Expire(now);
  std::vector<UpstreamEndAction> actions;
  for (auto& [id, suspicion] : this->suspicions) {
    const UpstreamProcess& suspect = suspicion.process;
    const bool is_successor = (process.id == id || process.address == suspect.address) &&
                              process.started_unix_ms > suspect.started_unix_ms;
    if (!is_successor || suspicion.ended) continue;
    actions.push_back(this->Confirm(suspicion, "later start", now));
  }
  return actions;
}

void UpstreamEndDetector::OnAnswered(std::string_view id, std::int64_t started_unix_ms) {
  const auto found = this->suspicions.find(id);
  if (found == this->suspicions.end()) return;
  if (found->second.ended || !found->second.probed) return;
  if (found->second.process.started_unix_ms == started_unix_ms) this->suspicions.erase(found);
}

void UpstreamEndDetector::Expire(Instant now) {
  std::erase_if(this->suspicions, [&](const auto& row) {
    return now - row.second.lost_at >= this->options.confirmation_time;
  });
}

UpstreamEndAction UpstreamEndDetector::Confirm(Suspicion& suspicion, std::string_view evidence,
                                               Instant now) {
  suspicion.ended = true;
  UpstreamEnded ended{.process = suspicion.process, .evidence = evidence};
  for (const CrashSuspect& request : std::exchange(suspicion.requests, {})) {
    ended.suspects.push_back(RecordOf(suspicion.process, request, now - suspicion.lost_at));
  }
  return ended;
}

}  // namespace savory
