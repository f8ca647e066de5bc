#include "standins/kv_service.h"

#include <charconv>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "standins/call_rate.h"
#include "standins/kv_store.h"

namespace savory::standins {
namespace {

using nlohmann::json;
using Lock = std::unique_lock<std::mutex>;

constexpr std::string_view kValuePath = "/kv/";
constexpr std::string_view kLeasePath = "/lease/";
constexpr std::int64_t kMaxWaitMs = 120'000;

struct Faults {
  bool outage = false;
  bool outage_silent = false;
  int delay_ms = 0;
  int slow_after_ms = 0;
  int lose_replies = 0;
  bool lose_silently = false;
  std::string key_prefix;
};

struct Counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t lease_calls = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost_replies = 0;
};

std::int64_t ToInteger(std::string_view text, std::int64_t fallback) {
  std::int64_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::int64_t QueryInteger(const HttpRequest& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? 0 : ToInteger(found->second, 0);
}

std::string QueryText(const HttpRequest& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

KvAnswer StatusAnswer(int status, const json& body = json::object()) {
  return KvAnswer{.reply = HttpReply{.status = status, .body = body.dump()}};
}

KvAnswer VersionedAnswer(int status, std::uint64_t version, std::string body = "") {
  return KvAnswer{.reply = HttpReply{.status = status,
                                     .content_type = "application/octet-stream",
                                     .headers = {{"X-Version", std::to_string(version)}},
                                     .body = std::move(body)}};
}

void SleepMs(int ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}  // namespace

struct KvService::Impl {
  mutable std::mutex mutex;
  std::condition_variable changed;
  KvStore store;
  Faults faults;
  Counts counts;
  mutable CallRate rate;
  int waiting = 0;

  // Returns the answer of a call that took effect, or marks the reply as lost.
  KvAnswer Deliver(const std::string& key, KvAnswer answer) {
    if (this->faults.lose_replies > 0 && key.starts_with(this->faults.key_prefix)) {
      --this->faults.lose_replies;
      ++this->counts.lost_replies;
      answer.delivery = this->faults.lose_silently ? Delivery::kNeverAnswer : Delivery::kClose;
    }
    return answer;
  }

  KvAnswer Refuse() {
    ++this->counts.refused;
    KvAnswer answer = StatusAnswer(503, {{"error", "outage"}});
    if (this->faults.outage_silent) answer.delivery = Delivery::kNeverAnswer;
    return answer;
  }

  KvAnswer Read(const std::string& key) {
    const StoredValue* value = this->store.Find(key);
    if (value == nullptr) return StatusAnswer(404, {{"error", "no such key"}});
    return VersionedAnswer(200, value->version, value->bytes);
  }

  KvAnswer Watch(Lock& lock, const std::string& key, const HttpRequest& request) {
    const auto after = static_cast<std::uint64_t>(QueryInteger(request, "after"));
    const std::int64_t wait_ms =
        std::clamp<std::int64_t>(QueryInteger(request, "wait_ms"), 0, kMaxWaitMs);
    ++this->waiting;
    this->changed.wait_for(lock, std::chrono::milliseconds(wait_ms), [this, &key, after] {
      return this->faults.outage || this->store.VersionOf(key) > after;
    });
    --this->waiting;
    if (this->faults.outage) return this->Refuse();
    if (this->store.VersionOf(key) > after) return this->Read(key);
    return VersionedAnswer(304, this->store.VersionOf(key));
  }

  KvAnswer Write(const std::string& key, const HttpRequest& request) {
    const std::string_view expected = HeaderValue(request.headers, "If-Version");
    if (expected.empty()) return StatusAnswer(400, {{"error", "If-Version is missing"}});
    if (request.body.size() > KvStore::kMaxValueBytes) {
      return StatusAnswer(413, {{"error", "the value is larger than 1 MB"}});
    }
    const SwapResult swap = this->store.CompareAndSwap(
        key, request.body, static_cast<std::uint64_t>(ToInteger(expected, 0)));
    if (!swap.written) ++this->counts.conflicts;
    this->changed.notify_all();
    return this->Deliver(key, VersionedAnswer(swap.written ? 200 : 409, swap.version));
  }

  KvAnswer Lease(const std::string& name, const HttpRequest& request) {
    const Instant now = MonotonicClock::now();
    if (request.method == "DELETE") {
      const bool released =
          this->store.Release(name, QueryText(request, "holder"),
                              static_cast<std::uint64_t>(QueryInteger(request, "fence")), now);
      return this->Deliver(name, StatusAnswer(released ? 200 : 409));
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) return StatusAnswer(400, {{"error", "not a JSON object"}});
    const std::string holder = body.value("holder", "");
    const Duration ttl = std::chrono::milliseconds(body.value("ttl_ms", 0));
    if (request.method == "POST") {
      const auto fence = this->store.Acquire(name, holder, ttl, now);
      if (!fence) return this->Deliver(name, StatusAnswer(409, {{"error", "held"}}));
      return this->Deliver(name, StatusAnswer(200, {{"fence", *fence}}));
    }
    const bool renewed =
        this->store.Renew(name, holder, body.value("fence", std::uint64_t{0}), ttl, now);
    return this->Deliver(name, StatusAnswer(renewed ? 200 : 409));
  }

  KvAnswer HandleValue(Lock& lock, const std::string& key, const HttpRequest& request) {
    if (request.method == "PUT") {
      ++this->counts.writes;
      return this->Write(key, request);
    }
    if (request.query.contains("wait_ms")) {
      ++this->counts.watches;
      return this->Watch(lock, key, request);
    }
    ++this->counts.reads;
    return this->Read(key);
  }
};

KvService::KvService() : impl(std::make_unique<Impl>()) {}
KvService::~KvService() = default;

KvAnswer KvService::Handle(const HttpRequest& request) {
  Impl& self = *this->impl;
  Lock lock(self.mutex);
  self.rate.Add(MonotonicClock::now());
  const int delay_ms = self.faults.delay_ms;
  lock.unlock();
  SleepMs(delay_ms);
  lock.lock();
  KvAnswer answer;
  if (request.path.starts_with(kValuePath)) {
    if (self.faults.outage) {
      answer = self.Refuse();
    } else {
      answer = self.HandleValue(lock, request.path.substr(kValuePath.size()), request);
    }
  } else if (request.path.starts_with(kLeasePath)) {
    ++self.counts.lease_calls;
    answer = self.faults.outage ? self.Refuse()
                                : self.Lease(request.path.substr(kLeasePath.size()), request);
  } else {
    return StatusAnswer(404);
  }
  const int slow_ms = self.faults.slow_after_ms;
  lock.unlock();
  SleepMs(slow_ms);
  return answer;
}

json KvService::Stats() const {
  const Impl& self = *this->impl;
  const Lock lock(self.mutex);
  const Counts& counts = self.counts;
  const Instant now = MonotonicClock::now();
  return {{"reads", counts.reads},
          {"writes", counts.writes},
          {"watches", counts.watches},
          {"lease_calls", counts.lease_calls},
          {"total", counts.reads + counts.writes + counts.watches + counts.lease_calls},
          {"conflicts", counts.conflicts},
          {"refused", counts.refused},
          {"lost_replies", counts.lost_replies},
          {"waiting_watches", self.waiting},
          {"held_leases", self.store.HeldLeases(now)},
          {"calls_last_second", self.rate.LastSecond(now)},
          {"calls_per_second_peak", self.rate.Peak()}};
}

json KvService::SetFaults(const json& change) {
  Impl& self = *this->impl;
  const Lock lock(self.mutex);
  Faults& faults = self.faults;
  faults.outage = change.value("outage", faults.outage);
  faults.outage_silent = change.value("outage_silent", faults.outage_silent);
  faults.delay_ms = change.value("delay_ms", faults.delay_ms);
  faults.slow_after_ms = change.value("slow_after_ms", faults.slow_after_ms);
  faults.lose_replies = change.value("lose_replies", faults.lose_replies);
  faults.lose_silently = change.value("lose_silently", faults.lose_silently);
  faults.key_prefix = change.value("key_prefix", faults.key_prefix);
  self.changed.notify_all();
  return {{"outage", faults.outage},
          {"outage_silent", faults.outage_silent},
          {"delay_ms", faults.delay_ms},
          {"slow_after_ms", faults.slow_after_ms},
          {"lose_replies", faults.lose_replies},
          {"lose_silently", faults.lose_silently},
          {"key_prefix", faults.key_prefix}};
}

}  // namespace savory::standins
