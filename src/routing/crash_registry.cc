#include "routing/crash_registry.h"

#include <algorithm>
#include <utility>

namespace savory {
namespace {

bool IsSameCrash(const CrashRecord& a, const CrashRecord& b) {
  return a.vm == b.vm && a.upstream_incarnation == b.upstream_incarnation;
}

}  // namespace

CrashRegistry::CrashRegistry(CrashRegistryOptions options, Random& random)
    : options(options), random(random) {}

std::vector<CrashAction> CrashRegistry::Handle(const CrashEvent& event, Instant now) {
  this->Expire(now);
  if (const auto* changed = std::get_if<CrashPeersChanged>(&event)) this->peers = changed->peers;
  if (const auto* received = std::get_if<CrashRecordReceived>(&event)) {
    return this->Add(received->record, now);
  }
  return {};
}

bool CrashRegistry::IsRefused(const Digest& fingerprint, Instant now) const {
  const auto found = this->by_fingerprint.find(fingerprint);
  if (found == this->by_fingerprint.end()) return false;
  const CrashHistory& history = *found->second;
  return history.records.size() >= this->options.crash_threshold && now < history.expires;
}

std::size_t CrashRegistry::Fingerprints() const { return this->histories.size(); }

std::vector<CrashAction> CrashRegistry::Add(const CrashRecord& record, Instant now) {
  CrashHistory& history = this->HistoryFor(record.fingerprint, now);
  const bool known = std::any_of(history.records.begin(), history.records.end(),
                                 [&](const CrashRecord& r) { return IsSameCrash(r, record); });
  if (known || history.records.size() >= this->options.max_records) return {};
  history.records.push_back(record);
  history.expires = now + this->options.refusal_duration;
  this->histories.splice(this->histories.end(), this->histories,
                         this->by_fingerprint.at(record.fingerprint));
  return this->Forward(record);
}

CrashRegistry::CrashHistory& CrashRegistry::HistoryFor(const Digest& fingerprint, Instant now) {
  const auto found = this->by_fingerprint.find(fingerprint);
  if (found != this->by_fingerprint.end()) return *found->second;
  if (this->histories.size() >= this->options.max_fingerprints) {
    this->by_fingerprint.erase(this->histories.front().fingerprint);
    this->histories.pop_front();
  }
  this->histories.push_back(CrashHistory{
      .fingerprint = fingerprint, .records = {}, .expires = now + this->options.refusal_duration});
  this->by_fingerprint.emplace(fingerprint, std::prev(this->histories.end()));
  return this->histories.back();
}

std::vector<CrashAction> CrashRegistry::Forward(CrashRecord record) {
  if (record.hops >= this->options.max_hops) return {};
  ++record.hops;
  std::vector<std::string> chosen;
  std::sample(this->peers.begin(), this->peers.end(), std::back_inserter(chosen),
              this->options.fan_out, this->random);
  std::vector<CrashAction> actions;
  actions.reserve(chosen.size());
  for (std::string& peer : chosen) {
    actions.emplace_back(CrashForward{.peer = std::move(peer), .record = record});
  }
  return actions;
}

void CrashRegistry::Expire(Instant now) {
  while (!this->histories.empty() && this->histories.front().expires <= now) {
    this->by_fingerprint.erase(this->histories.front().fingerprint);
    this->histories.pop_front();
  }
}

}  // namespace savory
