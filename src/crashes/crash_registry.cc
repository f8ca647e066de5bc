#include "crashes/crash_registry.h"

#include <algorithm>
#include <iterator>

namespace savory {
namespace {

std::uint64_t DigestOf(const Digest& fingerprint, std::size_t crashes) {
  return RendezvousScore(fingerprint.View(), std::to_string(crashes));
}

}  // namespace

CrashRegistry::CrashRegistry(CrashRegistryOptions options, Random& random)
    : options(std::move(options)), random(random) {}

std::vector<CrashAction> CrashRegistry::Handle(const CrashEvent& event, Instant now) {
  this->Expire(now);
  if (const auto* received = std::get_if<CrashRecordReceived>(&event)) {
    const CrashRecord& record = received->record;
    if (record.age < Duration(0) || record.age >= this->options.refusal_duration) return {};
    return record.served ? this->AddServed(record, now) : this->AddCrash(record, now);
  }
  if (const auto* served = std::get_if<RequestServed>(&event)) {
    return this->AddServed({.fingerprint = served->fingerprint, .served = true}, now);
  }
  if (const auto* received = std::get_if<CrashDigestReceived>(&event)) {
    return this->Resync(*received, now);
  }
  if (const auto* changed = std::get_if<CrashPeersChanged>(&event)) {
    this->peers = changed->peers;
    std::erase_if(this->differing, [this](const auto& row) {
      return std::find(this->peers.begin(), this->peers.end(), row.first) == this->peers.end();
    });
  }
  return {};
}

bool CrashRegistry::IsRefused(const Digest& fingerprint, Instant now) const {
  const CrashHistory* history = this->Find(fingerprint, now);
  if (history == nullptr || history->crashes.size() < this->options.crash_threshold) return false;
  return history->crashes.size() >= this->options.certain_threshold ||
         !this->HasOtherSuspect(*history, now);
}

Instant CrashRegistry::RefusalEnd(const Digest& fingerprint, Instant now) const {
  return this->IsRefused(fingerprint, now) ? this->by_fingerprint.at(fingerprint)->expires : now;
}

std::size_t CrashRegistry::CrashesOf(const Digest& fingerprint, Instant now) const {
  const CrashHistory* history = this->Find(fingerprint, now);
  return history == nullptr ? 0 : history->crashes.size();
}

std::vector<CrashRecord> CrashRegistry::RecordsOf(const Digest& fingerprint, Instant now) const {
  const CrashHistory* history = this->Find(fingerprint, now);
  return history == nullptr ? std::vector<CrashRecord>() : this->RecordsOf(*history, now);
}

std::uint64_t CrashRegistry::SharedDigest(Instant now) const {
  std::uint64_t digest = 0;
  for (const CrashHistory& history : this->histories) {
    const bool counts =
        now < history.expires && history.crashes.size() >= this->options.crash_threshold;
    if (counts) digest ^= DigestOf(history.fingerprint, history.crashes.size());
  }
  return digest;
}

std::size_t CrashRegistry::Fingerprints() const { return this->histories.size(); }

std::vector<CrashAction> CrashRegistry::AddCrash(const CrashRecord& record, Instant now) {
  CrashHistory& history = this->HistoryFor(record.fingerprint);
  const Instant at = now - record.age;
  const bool known =
      std::any_of(history.crashes.begin(), history.crashes.end(), [&record](const Crash& crash) {
        return crash.upstream == record.upstream &&
               crash.incarnation == record.upstream_incarnation;
      });
  const bool served_since = at <= history.served_at;
  if (known || served_since || history.crashes.size() >= this->options.max_records) return {};
  history.crashes.push_back(
      {.upstream = record.upstream, .incarnation = record.upstream_incarnation, .at = at});
  history.expires = std::max(history.expires, at + this->options.refusal_duration);
  this->suspects[{record.upstream, record.upstream_incarnation}].push_back(record.fingerprint);
  this->histories.splice(this->histories.end(), this->histories,
                         this->by_fingerprint.at(record.fingerprint));
  return this->Forward(record);
}

std::vector<CrashAction> CrashRegistry::AddServed(const CrashRecord& record, Instant now) {
  const auto found = this->by_fingerprint.find(record.fingerprint);
  if (found == this->by_fingerprint.end()) return {};
  CrashHistory& history = *found->second;
  const Instant at = now - record.age;
  history.served_at = std::max(history.served_at, at);
  const auto disproved = [at](const Crash& crash) { return crash.at <= at; };
  for (const Crash& crash : history.crashes) {
    if (disproved(crash)) this->ForgetSuspect(crash, record.fingerprint);
  }
  if (std::erase_if(history.crashes, disproved) == 0) return {};
  return this->Forward(record);
}

std::vector<CrashAction> CrashRegistry::Resync(const CrashDigestReceived& received, Instant now) {
  if (received.digest == this->SharedDigest(now)) {
    this->differing.erase(received.peer);
    return {};
  }
  // A record that is spreading makes digests differ for a moment. A peer with none may have lost
  // its memory.
  const auto [before, is_new] = this->differing.try_emplace(received.peer, received.digest);
  const bool lasting = !is_new && before->second == received.digest;
  before->second = received.digest;
  if ((!lasting && received.digest != 0) || !this->IsResponsibleFor(received.peer)) return {};
  std::vector<CrashAction> actions;
  for (const CrashHistory& history : this->histories) {
    if (now >= history.expires) continue;
    const bool may_be_refused = history.crashes.size() >= this->options.crash_threshold;
    if (!may_be_refused && history.served_at == Instant()) continue;
    for (CrashRecord& record : this->RecordsOf(history, now)) {
      if (actions.size() >= this->options.max_resync_records) return actions;
      record.hops = this->options.max_hops;
      actions.emplace_back(CrashForward{.peer = received.peer, .record = std::move(record)});
    }
  }
  return actions;
}

bool CrashRegistry::HasOtherSuspect(const CrashHistory& history, Instant now) const {
  const auto explains = [&](const Digest& other) {
    if (other == history.fingerprint) return false;
    const CrashHistory* found = this->Find(other, now);
    return found != nullptr && found->crashes.size() >= history.crashes.size();
  };
  return std::any_of(history.crashes.begin(), history.crashes.end(), [&](const Crash& crash) {
    const auto found = this->suspects.find({crash.upstream, crash.incarnation});
    return found != this->suspects.end() &&
           std::any_of(found->second.begin(), found->second.end(), explains);
  });
}

const CrashRegistry::CrashHistory* CrashRegistry::Find(const Digest& fingerprint,
                                                       Instant now) const {
  const auto found = this->by_fingerprint.find(fingerprint);
  if (found == this->by_fingerprint.end() || now >= found->second->expires) return nullptr;
  return &*found->second;
}

CrashRegistry::CrashHistory& CrashRegistry::HistoryFor(const Digest& fingerprint) {
  const auto found = this->by_fingerprint.find(fingerprint);
  if (found != this->by_fingerprint.end()) return *found->second;
  if (this->histories.size() >= this->options.max_fingerprints) this->Drop(this->histories.begin());
  this->histories.push_back(CrashHistory{.fingerprint = fingerprint});
  this->by_fingerprint.emplace(fingerprint, std::prev(this->histories.end()));
  return this->histories.back();
}

void CrashRegistry::Drop(CrashHistories::iterator history) {
  for (const Crash& crash : history->crashes) this->ForgetSuspect(crash, history->fingerprint);
  this->by_fingerprint.erase(history->fingerprint);
  this->histories.erase(history);
}

void CrashRegistry::ForgetSuspect(const Crash& crash, const Digest& fingerprint) {
  const auto found = this->suspects.find({crash.upstream, crash.incarnation});
  if (found == this->suspects.end()) return;
  std::erase(found->second, fingerprint);
  if (found->second.empty()) this->suspects.erase(found);
}

std::vector<CrashAction> CrashRegistry::Forward(CrashRecord record) {
  if (record.hops >= this->options.max_hops) return {};
  ++record.hops;
  std::vector<std::string> chosen;
  if (!this->options.self.empty() && this->peers.size() <= this->options.max_direct_peers) {
    record.hops = this->options.max_hops;
    chosen = this->peers;
  } else {
    std::sample(this->peers.begin(), this->peers.end(), std::back_inserter(chosen),
                this->options.fan_out, this->random);
  }
  std::vector<CrashAction> actions;
  actions.reserve(chosen.size());
  for (std::string& peer : chosen) {
    actions.emplace_back(CrashForward{.peer = std::move(peer), .record = record});
  }
  return actions;
}

bool CrashRegistry::IsResponsibleFor(const std::string& peer) const {
  if (this->options.self.empty()) return false;
  const std::uint64_t own = RendezvousScore(peer, this->options.self);
  const auto before =
      std::count_if(this->peers.begin(), this->peers.end(), [&](const std::string& other) {
        return other != peer && other != this->options.self && RendezvousScore(peer, other) > own;
      });
  return static_cast<std::size_t>(before) < this->options.resync_peers;
}

std::vector<CrashRecord> CrashRegistry::RecordsOf(const CrashHistory& history, Instant now) const {
  std::vector<CrashRecord> records;
  for (const Crash& crash : history.crashes) {
    records.push_back({.fingerprint = history.fingerprint,
                       .upstream = crash.upstream,
                       .upstream_incarnation = crash.incarnation,
                       .age = now - crash.at});
  }
  if (history.served_at != Instant()) {
    records.push_back(
        {.fingerprint = history.fingerprint, .age = now - history.served_at, .served = true});
  }
  return records;
}

void CrashRegistry::Expire(Instant now) {
  while (!this->histories.empty() && this->histories.front().expires <= now) {
    this->Drop(this->histories.begin());
  }
}

}  // namespace savory
