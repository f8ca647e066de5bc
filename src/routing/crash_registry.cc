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
  if (const auto* members = std::get_if<CrashPeersChanged>(&event)) this->peers = members->peers;
  if (const auto* seen = std::get_if<CrashRecordReceived>(&event))
    return this->Add(seen->record, now);
  return {};
}

bool CrashRegistry::IsRefused(const Digest& fingerprint, Instant now) const {
  const auto found = this->by_fingerprint.find(fingerprint);
  if (found == this->by_fingerprint.end()) return false;
  const Entry& entry = *found->second;
  return entry.records.size() >= this->options.crash_threshold && now < entry.expires;
}

std::size_t CrashRegistry::Fingerprints() const { return this->entries.size(); }

std::vector<CrashAction> CrashRegistry::Add(const CrashRecord& record, Instant now) {
  Entry& entry = this->EntryFor(record.fingerprint, now);
  const bool known = std::any_of(entry.records.begin(), entry.records.end(),
                                 [&](const CrashRecord& r) { return IsSameCrash(r, record); });
  if (known || entry.records.size() >= this->options.max_records) return {};
  entry.records.push_back(record);
  entry.expires = now + this->options.refusal_duration;
  this->entries.splice(this->entries.end(), this->entries,
                       this->by_fingerprint.at(record.fingerprint));
  return this->Forward(record);
}

CrashRegistry::Entry& CrashRegistry::EntryFor(const Digest& fingerprint, Instant now) {
  const auto found = this->by_fingerprint.find(fingerprint);
  if (found != this->by_fingerprint.end()) return *found->second;
  if (this->entries.size() >= this->options.max_fingerprints) {
    this->by_fingerprint.erase(this->entries.front().fingerprint);
    this->entries.pop_front();
  }
  this->entries.push_back(Entry{
      .fingerprint = fingerprint, .records = {}, .expires = now + this->options.refusal_duration});
  this->by_fingerprint.emplace(fingerprint, std::prev(this->entries.end()));
  return this->entries.back();
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
  while (!this->entries.empty() && this->entries.front().expires <= now) {
    this->by_fingerprint.erase(this->entries.front().fingerprint);
    this->entries.pop_front();
  }
}

}  // namespace savory
