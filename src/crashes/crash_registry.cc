#include "crashes/crash_registry.h"

#include <algorithm>
#include <iterator>

namespace savory {
namespace {

// More crashes than this change nothing for other entries.
constexpr std::size_t kMaxCrashesInDigest = 3;

std::uint64_t DigestOf(const Digest& digest, std::size_t crashes) {
  return RendezvousScore(digest.View(), std::to_string(std::min(crashes, kMaxCrashesInDigest)));
}

UpstreamIncarnation ProcessOf(const CrashRecord& record) {
  return {record.upstream, record.upstream_incarnation};
}

}  // namespace

CrashRegistry::CrashRegistry(CrashRegistryOptions options, Random& random)
    : options(std::move(options)),
      random(random),
      sound_parts(this->options.sound_parts),
      part_shares(this->options.part_shares) {}

std::vector<CrashAction> CrashRegistry::Handle(const CrashEvent& event, Instant now) {
  std::vector<CrashAction> actions;
  if (const auto* received = std::get_if<CrashRecordReceived>(&event)) {
    const CrashRecord& record = received->record;
    if (record.age < Duration(0) || record.age >= this->MaxAge(record)) return {};
    actions = record.served ? this->AddServed(record, now) : this->AddCrash(record, now);
  } else if (const auto* served = std::get_if<RequestServed>(&event)) {
    actions = this->AddAnswer(*served, now);
  } else if (const auto* lifted = std::get_if<RefusalLifted>(&event)) {
    actions = this->Lift(*lifted, now);
  } else if (const auto* received = std::get_if<CrashDigestReceived>(&event)) {
    actions = this->Resync(*received, now);
  } else if (const auto* changed = std::get_if<CrashPeersChanged>(&event)) {
    this->peers = changed->peers;
    std::erase_if(this->differing, [this](const auto& row) {
      return std::find(this->peers.begin(), this->peers.end(), row.first) == this->peers.end();
    });
  } else {
    this->Expire(now);
  }
  const bool is_small = this->strong.size() <= this->options.max_immediate_candidates;
  if (this->causes_outdated && (is_small || now >= this->next_update)) this->UpdateCauses(now);
  return actions;
}

// ---- what is refused ----

bool CrashRegistry::IsRefused(const CrashSuspect& request, Instant now) const {
  return std::ranges::any_of(this->refusals, [&](const CrashRefusal& refusal) {
    return this->Applies(refusal, now) && refusal.cause.Has(request);
  });
}

bool CrashRegistry::IsRefused(const Digest& fingerprint, Instant now) const {
  return this->IsRefused(CrashSuspect{.fingerprint = fingerprint}, now);
}

std::optional<CrashRefusal> CrashRegistry::RefusalOf(const CrashSuspect& request,
                                                     Instant now) const {
  const CrashRefusal* last = nullptr;
  for (const CrashRefusal& refusal : this->refusals) {
    if (!this->Applies(refusal, now) || !refusal.cause.Has(request)) continue;
    if (last == nullptr || last->end < refusal.end) last = &refusal;
  }
  return last == nullptr ? std::nullopt : std::optional(*last);
}

Instant CrashRegistry::RefusalEnd(const Digest& fingerprint, Instant now) const {
  const auto refusal = this->RefusalOf({.fingerprint = fingerprint}, now);
  return refusal ? std::max(refusal->end, now) : now;
}

std::vector<CrashRefusal> CrashRegistry::Refusals(Instant now) const {
  std::vector<CrashRefusal> current;
  std::ranges::copy_if(this->refusals, std::back_inserter(current),
                       [&](const auto& refusal) { return this->Applies(refusal, now); });
  return current;
}

bool CrashRegistry::Applies(const CrashRefusal& refusal, Instant now) const {
  const std::vector<Digest>& digests = refusal.cause.all_of;
  const bool known = std::ranges::all_of(
      digests, [&](const Digest& digest) { return this->Find(digest, now) != nullptr; });
  return known && (now < refusal.end || !this->RanksFirst(refusal.cause));
}

bool CrashRegistry::RanksFirst(const CrashCause& cause) const {
  if (this->options.self.empty()) return true;
  const std::string_view key = cause.all_of.front().View();
  const std::uint64_t own = RendezvousScore(key, this->options.self);
  return std::ranges::none_of(
      this->peers, [&](const std::string& peer) { return RendezvousScore(key, peer) > own; });
}

std::vector<CrashRecord> CrashRegistry::Evidence(const CrashCause& cause, Instant now) const {
  std::vector<CrashRecord> records;
  for (const UpstreamIncarnation& process : cause.crashes) {
    const auto found = this->suspects.find(process);
    if (found == this->suspects.end()) continue;
    const auto guilty = std::ranges::find_if(
        found->second, [&cause](const CrashSuspect& request) { return cause.Has(request); });
    if (guilty == found->second.end()) continue;
    CrashRecord record{.fingerprint = guilty->fingerprint,
                       .upstream = process.first,
                       .upstream_incarnation = process.second,
                       .age = now - this->CrashedAt(process, cause, now)};
    std::ranges::copy_if(cause.all_of, std::back_inserter(record.parts),
                         [&](const Digest& digest) { return digest != record.fingerprint; });
    records.push_back(std::move(record));
  }
  std::ranges::sort(records, {}, &CrashRecord::age);
  if (records.size() > this->options.max_evidence) records.resize(this->options.max_evidence);
  return records;
}

Instant CrashRegistry::CrashedAt(const UpstreamIncarnation& process, const CrashCause& cause,
                                 Instant now) const {
  const CrashHistory* history = this->Find(cause.all_of.front(), now);
  if (history == nullptr) return now;
  const Crash* crash = FindCrash(*history, process);
  return crash == nullptr ? now : crash->at;
}

bool CrashRegistry::IsSuspect(const CrashSuspect& request, Instant now) const {
  const auto is_suspect = [&](const Digest& digest) {
    const CrashHistory* history = this->Find(digest, now);
    if (history == nullptr) return false;
    return std::ranges::any_of(history->crashes, [this](const Crash& crash) {
      return std::ranges::none_of(this->refusals, [&crash](const CrashRefusal& refusal) {
        return std::ranges::binary_search(refusal.cause.crashes, crash.process);
      });
    });
  };
  return is_suspect(request.fingerprint) || std::ranges::any_of(request.parts, is_suspect);
}

std::vector<Digest> CrashRegistry::StrongSuspicions(const CrashSuspect& request) const {
  std::vector<Digest> found;
  const auto add = [&](const Digest& digest) {
    if (std::ranges::binary_search(this->causes.open, digest)) found.push_back(digest);
  };
  add(request.fingerprint);
  for (const Digest& part : request.parts) add(part);
  return found;
}

std::uint64_t CrashRegistry::SharedDigest(Instant now) const {
  std::uint64_t digest = 0;
  for (const CrashHistory& history : this->strong) {
    const bool counts = now < history.expires && this->MayBeRefused(history);
    if (counts) digest ^= DigestOf(history.digest, history.crashes.size());
  }
  return digest;
}

std::size_t CrashRegistry::Fingerprints() const { return this->by_digest.size(); }

bool CrashRegistry::MayBeRefused(const CrashHistory& history) const {
  return history.crashes.size() >= this->options.causes.crash_threshold;
}

// ---- crashes ----

Duration CrashRegistry::MaxAge(const CrashRecord& record) const {
  const bool has_trial = record.served || !record.parts.empty();
  return this->options.refusal_duration + (has_trial ? this->options.trial_duration : Duration(0));
}

std::vector<CrashAction> CrashRegistry::AddCrash(CrashRecord record, Instant now) {
  std::vector<CrashAction> actions = this->DropSoundParts(record, now);
  const UpstreamIncarnation process = ProcessOf(record);
  const Instant at = now - record.age;
  bool is_new =
      !record.fingerprint.IsZero() && this->AddCrashOf(record.fingerprint, false, process, at);
  for (const Digest& part : record.parts) {
    is_new = this->AddCrashOf(part, true, process, at) || is_new;
  }
  if (!is_new) return actions;
  this->AddSuspect(record);
  this->causes_outdated = true;
  std::ranges::move(this->Forward(std::move(record)), std::back_inserter(actions));
  return actions;
}

bool CrashRegistry::AddCrashOf(const Digest& digest, bool is_part,
                               const UpstreamIncarnation& process, Instant at) {
  const CrashHistories::iterator row = this->HistoryFor(digest, is_part);
  CrashHistory& history = *row;
  const bool known =
      std::ranges::find(history.crashes, process, &Crash::process) != history.crashes.end();
  const bool served_since = history.served_at != Instant() && at <= history.served_at;
  if (known || served_since || history.crashes.size() >= this->options.max_records) return false;
  history.crashes.push_back({.process = process, .at = at});
  history.refused_until = std::max(history.refused_until, at + this->options.refusal_duration);
  history.expires = history.refused_until + (is_part ? this->options.trial_duration : Duration(0));
  this->Relist(row);
  return true;
}

void CrashRegistry::AddSuspect(const CrashRecord& record) {
  std::vector<CrashSuspect>& requests = this->suspects[ProcessOf(record)];
  const auto known = std::ranges::find(requests, record.fingerprint, &CrashSuspect::fingerprint);
  if (known == requests.end()) {
    requests.push_back({.fingerprint = record.fingerprint, .parts = record.parts});
    return;
  }
  for (const Digest& part : record.parts) {
    if (std::ranges::find(known->parts, part) == known->parts.end()) known->parts.push_back(part);
  }
}

std::vector<CrashAction> CrashRegistry::DropSoundParts(CrashRecord& record, Instant now) {
  const Instant at = now - record.age;
  std::vector<CrashAction> actions;
  std::erase_if(record.parts, [&](const Digest& part) {
    const Instant answered = this->sound_parts.AnsweredAt(part);
    if (answered == Instant()) return false;
    // The entry that suspects the part does not know of the answer.
    if (record.hops > 0 && this->sound_parts.TakeAnnouncement(part, now)) {
      std::ranges::move(this->Forward({.fingerprint = part, .age = now - answered, .served = true}),
                        std::back_inserter(actions));
    }
    return at <= answered + this->options.sound_before_crash;
  });
  return actions;
}

// ---- answers ----

std::vector<CrashAction> CrashRegistry::AddServed(const CrashRecord& record, Instant now) {
  const Instant at = now - record.age;
  const bool is_first = this->sound_parts.AnsweredAt(record.fingerprint) == Instant();
  const bool is_news = this->sound_parts.Add(record.fingerprint, at) &&
                       this->sound_parts.TakeAnnouncement(record.fingerprint, now);
  this->causes_outdated = this->causes_outdated || (is_first && is_news);
  const bool cleared = this->ClearCrashes(record.fingerprint, at);
  if (!cleared && !is_news) return {};
  return this->Forward(record);
}

std::vector<CrashAction> CrashRegistry::AddAnswer(const RequestServed& served, Instant now) {
  std::vector<CrashAction> actions;
  const auto clear = [&](const Digest& digest) {
    if (!this->ClearCrashes(digest, now)) return;
    std::ranges::move(this->Forward({.fingerprint = digest, .served = true}),
                      std::back_inserter(actions));
  };
  if (!served.fingerprint.IsZero()) clear(served.fingerprint);
  for (const Digest& part : served.parts) {
    this->sound_parts.Add(part, now);
    clear(part);
  }
  return actions;
}

std::vector<CrashAction> CrashRegistry::Lift(const RefusalLifted& lifted, Instant now) {
  std::vector<CrashAction> actions;
  for (const Digest& digest : lifted.all_of) {
    std::ranges::move(this->AddServed({.fingerprint = digest, .served = true}, now),
                      std::back_inserter(actions));
  }
  return actions;
}

bool CrashRegistry::ClearCrashes(const Digest& digest, Instant answered) {
  const auto found = this->by_digest.find(digest);
  if (found == this->by_digest.end()) return false;
  CrashHistory& history = *found->second;
  const Duration margin = history.is_part ? this->options.sound_before_crash : Duration(0);
  history.served_at = std::max(history.served_at, answered);
  const auto disproved = [&](const Crash& crash) { return crash.at <= answered + margin; };
  for (const Crash& crash : history.crashes) {
    if (disproved(crash)) this->ForgetSuspect(crash, history);
  }
  if (std::erase_if(history.crashes, disproved) == 0) return false;
  this->Relist(found->second);
  this->causes_outdated = true;
  return true;
}

// ---- other entries ----

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
  std::vector<CrashRecord> records = this->RecordsToShare(now);
  records.resize(std::min(records.size(), this->options.max_resync_records));
  std::vector<CrashAction> actions;
  for (CrashRecord& record : records) {
    record.hops = this->options.max_hops;
    actions.emplace_back(CrashForward{.peer = received.peer, .record = std::move(record)});
  }
  return actions;
}

std::vector<CrashRecord> CrashRegistry::RecordsToShare(Instant now) const {
  std::vector<CrashRecord> records;
  const auto add_answer = [&](const CrashHistory& history, Instant answered) {
    if (answered == Instant() || now >= history.expires) return;
    records.push_back({.fingerprint = history.digest, .age = now - answered, .served = true});
  };
  // Answers of suspected parts come first: without them, the crashes would prove more causes.
  for (const CrashHistory& history : this->strong) {
    if (history.is_part) add_answer(history, this->sound_parts.AnsweredAt(history.digest));
  }
  const auto crash_of = [&](const Digest& digest, const UpstreamIncarnation& process) {
    const CrashHistory* history = this->Find(digest, now);
    const bool shared = history != nullptr && this->MayBeRefused(*history);
    return shared ? FindCrash(*history, process) : nullptr;
  };
  for (const auto& [process, requests] : this->suspects) {
    for (const CrashSuspect& request : requests) {
      CrashRecord record{.fingerprint = request.fingerprint,
                         .upstream = process.first,
                         .upstream_incarnation = process.second};
      const Crash* crash = crash_of(request.fingerprint, process);
      for (const Digest& part : request.parts) {
        const Crash* of_part = crash_of(part, process);
        if (of_part == nullptr) continue;
        record.parts.push_back(part);
        crash = of_part;
      }
      if (crash == nullptr) continue;
      record.age = now - crash->at;
      records.push_back(std::move(record));
    }
  }
  for (const CrashHistories* list : {&this->strong, &this->weak}) {
    for (const CrashHistory& history : *list) {
      if (!history.is_part) add_answer(history, history.served_at);
    }
  }
  return records;
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

// ---- state ----

const CrashRegistry::Crash* CrashRegistry::FindCrash(const CrashHistory& history,
                                                     const UpstreamIncarnation& process) {
  const auto crash = std::ranges::find(history.crashes, process, &Crash::process);
  return crash == history.crashes.end() ? nullptr : &*crash;
}

const CrashRegistry::CrashHistory* CrashRegistry::Find(const Digest& digest, Instant now) const {
  const auto found = this->by_digest.find(digest);
  if (found == this->by_digest.end() || now >= found->second->expires) return nullptr;
  return &*found->second;
}

CrashRegistry::CrashHistories::iterator CrashRegistry::HistoryFor(const Digest& digest,
                                                                  bool is_part) {
  const auto found = this->by_digest.find(digest);
  if (found != this->by_digest.end()) return found->second;
  if (this->by_digest.size() >= this->options.max_fingerprints) {
    this->Drop(this->weak.empty() ? this->strong.begin() : this->weak.begin());
  }
  this->weak.push_back(CrashHistory{.digest = digest, .is_part = is_part});
  const auto row = std::prev(this->weak.end());
  this->by_digest.emplace(digest, row);
  return row;
}

void CrashRegistry::Relist(CrashHistories::iterator row) {
  CrashHistories& from = row->is_strong ? this->strong : this->weak;
  row->is_strong = this->MayBeRefused(*row);
  CrashHistories& to = row->is_strong ? this->strong : this->weak;
  to.splice(to.end(), from, row);
}

void CrashRegistry::Drop(CrashHistories::iterator row) {
  for (const Crash& crash : row->crashes) this->ForgetSuspect(crash, *row);
  this->by_digest.erase(row->digest);
  this->causes_outdated = this->causes_outdated || row->is_strong;
  (row->is_strong ? this->strong : this->weak).erase(row);
}

void CrashRegistry::ForgetSuspect(const Crash& crash, const CrashHistory& history) {
  const auto found = this->suspects.find(crash.process);
  if (found == this->suspects.end()) return;
  for (CrashSuspect& request : found->second) {
    if (request.fingerprint == history.digest) request.fingerprint = Digest();
    std::erase(request.parts, history.digest);
  }
  std::erase_if(found->second, [](const CrashSuspect& request) {
    return request.fingerprint.IsZero() && request.parts.empty();
  });
  if (found->second.empty()) this->suspects.erase(found);
}

void CrashRegistry::UpdateCauses(Instant now) {
  this->causes_outdated = false;
  ++this->cause_updates;
  this->next_update = now + this->options.update_period;
  std::vector<CrashCandidate> candidates;
  for (const CrashHistory& history : this->strong) {
    if (now >= history.expires) continue;
    const bool is_doubtful =
        history.is_part && (this->sound_parts.AnsweredAt(history.digest) != Instant() ||
                            this->part_shares.IsCommon(history.digest));
    CrashCandidate candidate{.digest = history.digest, .is_doubtful = is_doubtful};
    for (const Crash& crash : history.crashes) candidate.crashes.push_back(crash.process);
    std::ranges::sort(candidate.crashes);
    candidates.push_back(std::move(candidate));
  }
  if (candidates.size() > this->options.max_candidates) {
    const auto crashes = [](const CrashCandidate& row) { return row.crashes.size(); };
    std::ranges::stable_sort(candidates, std::ranges::greater(), crashes);
    candidates.resize(this->options.max_candidates);
  }
  this->causes =
      FindCrashCauses(candidates, this->suspects, this->causes.proved, this->options.causes);
  this->refusals.clear();
  for (const CrashCause& cause : this->causes.proved) {
    CrashRefusal refusal{.cause = cause};
    for (const Digest& digest : cause.all_of) {
      const CrashHistory* history = this->Find(digest, now);
      if (history != nullptr) refusal.end = std::max(refusal.end, history->refused_until);
    }
    this->refusals.push_back(std::move(refusal));
  }
}

void CrashRegistry::Expire(Instant now) {
  for (CrashHistories* list : {&this->weak, &this->strong}) {
    for (auto row = list->begin(); row != list->end();) {
      const auto next = std::next(row);
      if (now >= row->expires) this->Drop(row);
      row = next;
    }
  }
}

}  // namespace savory
