#include "routing/account_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace savory {
namespace {

// Ratio of the largest to the smallest effective weight. It bounds the rounds that NextAccount()
// needs.
constexpr double kMaxWeightRatio = 100;
// Weight of the newest sample in the moving average of the service time.
constexpr double kServiceTimeSmoothing = 0.1;
// Lower bound of `retry_after` of a refusal.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr std::string_view kDefaultAccount = "*";

struct QueuedRequest {
  std::uint64_t id = 0;
  std::int32_t priority = 0;
  Instant deadline = {};
};

// The state of one account in one request class.
struct Account {
  std::string name;
  double rate = 0;         // tokens per second at this entry; 0: no limit
  double burst = 1;        // tokens
  double concurrency = 0;  // requests at this entry; 0: no limit
  double weight = 1;       // in the deficit round robin
  double tokens = 0;       // at the time `refilled`
  Instant refilled = {};
  double deficit = 0;  // requests that the account may start in this round
  std::uint32_t running = 0;
  std::deque<QueuedRequest> queue = {};  // highest priority first, then oldest first

  std::size_t InFlight() const { return this->running + this->queue.size(); }

  double TokensAt(Instant now) const {
    const double gained = ToSeconds(now - this->refilled) * this->rate;
    return std::min(this->burst, this->tokens + gained);
  }

  bool HasFullBucket(Instant now) const {
    return this->rate <= 0 || this->TokensAt(now) >= this->burst;
  }

  void Refill(Instant now) {
    this->tokens = this->TokensAt(now);
    this->refilled = now;
  }

  void Enqueue(const QueuedRequest& queued_request) {
    const auto place = std::find_if(
        this->queue.begin(), this->queue.end(),
        [&](const QueuedRequest& other) { return other.priority < queued_request.priority; });
    this->queue.insert(place, queued_request);
  }
};

// A request that holds a slot or is queued.
struct Request {
  std::string request_class;
  std::string account;
  bool running = false;
  Instant started = {};
};

Error Refusal(ErrorKind kind, std::string detail, Duration retry_after) {
  return Error{.kind = kind,
               .detail = std::move(detail),
               .retry_after = std::max(retry_after, kMinRetryAfter)};
}

}  // namespace

std::vector<ClassLimits> LimitsByClass(const wire::Tables& tables) {
  std::map<std::string, std::map<std::string, wire::AccountLimit>> by_class;
  for (const wire::Route& route : tables.routes()) {
    auto& rows = by_class[route.request_class()];
    for (const wire::AccountLimit& limit : route.limits()) rows.emplace(limit.account(), limit);
  }
  std::vector<ClassLimits> classes;
  for (const auto& [name, rows] : by_class) {
    ClassLimits limits{.request_class = name, .limits = {}};
    for (const auto& [account, limit] : rows) limits.limits.push_back(limit);
    classes.push_back(std::move(limits));
  }
  return classes;
}

namespace {

// The accounts, queues and slots of one class.
struct ClassState {
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::size_t queued = 0;
  Duration mean_service_time = {};
  std::map<std::string, wire::AccountLimit, std::less<>> limits = {};
  std::map<std::string, Account, std::less<>> accounts = {};
  // Accounts with queued requests. The front one is served next.
  std::deque<std::string> active = {};

  bool HasFreeSlot() const { return this->running < this->slots; }

  const wire::AccountLimit* LimitFor(std::string_view account) const {
    auto found = this->limits.find(account);
    if (found == this->limits.end()) found = this->limits.find(kDefaultAccount);
    return found == this->limits.end() ? nullptr : &found->second;
  }

  double MaxActiveWeight() const {
    double weight = 0;
    for (const std::string& name : this->active) {
      weight = std::max(weight, this->accounts.at(name).weight);
    }
    return weight;
  }

  // The fraction of the class's throughput that `account` gets while the same accounts have queued
  // requests.
  double ShareOf(const Account& account) const {
    double total = account.queue.empty() ? account.weight : 0;
    for (const std::string& name : this->active) total += this->accounts.at(name).weight;
    return account.weight / total;
  }

  // Expected time until `ahead` more requests of the account have been given a slot.
  Duration WaitFor(const Account& account, double ahead) const {
    const double per_second = std::max<std::uint32_t>(this->slots, 1) /
                              std::max(ToSeconds(this->mean_service_time), 1e-6);
    return FromSeconds(ahead / (per_second * this->ShareOf(account)));
  }

  void ObserveServiceTime(Duration service_time) {
    const double mean = ToSeconds(this->mean_service_time);
    this->mean_service_time =
        FromSeconds(mean + kServiceTimeSmoothing * (ToSeconds(service_time) - mean));
  }

  // Returns the account whose request gets the next slot. At least one request must be queued.
  Account& NextAccount() {
    const double max_weight = this->MaxActiveWeight();
    while (true) {
      Account& account = this->accounts.at(this->active.front());
      if (account.deficit >= 1) return account;
      account.deficit += std::max(account.weight / max_weight, 1 / kMaxWeightRatio);
      if (account.deficit >= 1) return account;
      this->RotateActive();
    }
  }

  void RotateActive() {
    this->active.push_back(std::move(this->active.front()));
    this->active.pop_front();
  }

  void RemoveFromActive(Account& account) {
    account.deficit = 0;
    std::erase(this->active, account.name);
  }
};

}  // namespace

struct AccountLimiter::Impl {
  AccountLimiterOptions options;
  std::uint32_t live_entries = 1;
  std::map<std::string, ClassState, std::less<>> classes = {};
  std::unordered_map<std::uint64_t, Request> requests = {};
  std::vector<LimiterAction> actions = {};

  void On(const LimiterArrival& event, Instant now);
  void On(const LimiterRequestEnded& event, Instant now);
  void On(const LimiterLimitsChanged& event, Instant now);
  void On(const LimiterEntryCount& event, Instant now);
  void On(const LimiterSlots& event, Instant now);
  void On(const LimiterTick& event, Instant now);

  ClassState& ClassFor(const std::string& name);
  Account& AccountFor(ClassState& state, const std::string& name, Instant now);
  void SetLimits(const ClassState& state, Account& account, Instant now) const;
  std::optional<Error> RefusalFor(const ClassState& state, const Account& account,
                                  const LimiterArrival& event, Instant now) const;
  std::optional<Error> QueueRefusal(const ClassState& state, const Account& account,
                                    const LimiterArrival& event, Instant now) const;
  void EnqueueRequest(ClassState& state, Account& account, const LimiterArrival& event);
  void Admit(ClassState& state, Account& account, std::uint64_t id, Instant now);
  void AdmitQueued(ClassState& state, Instant now);
  void RefuseExpired(ClassState& state, Instant now);
  void RemoveIdleAccounts(ClassState& state, Instant now);
  void Refuse(std::uint64_t id, Error error);
};

void AccountLimiter::Impl::On(const LimiterArrival& event, Instant now) {
  assert(!this->requests.contains(event.id));
  ClassState& state = this->ClassFor(event.request_class);
  Account& account = this->AccountFor(state, event.account, now);
  account.Refill(now);
  if (auto error = this->RefusalFor(state, account, event, now)) {
    this->Refuse(event.id, std::move(*error));
    return;
  }
  if (account.rate > 0) account.tokens -= 1;
  this->requests.emplace(event.id,
                         Request{.request_class = event.request_class, .account = event.account});
  if (state.HasFreeSlot() && state.queued == 0) {
    this->Admit(state, account, event.id, now);
    return;
  }
  this->EnqueueRequest(state, account, event);
}

void AccountLimiter::Impl::On(const LimiterRequestEnded& event, Instant now) {
  const auto found = this->requests.find(event.id);
  if (found == this->requests.end()) return;
  const Request request = std::move(found->second);
  this->requests.erase(found);
  ClassState& state = this->ClassFor(request.request_class);
  Account& account = state.accounts.at(request.account);
  if (request.running) {
    --state.running;
    --account.running;
    state.ObserveServiceTime(now - request.started);
    this->AdmitQueued(state, now);
    return;
  }
  std::erase_if(account.queue,
                [&](const QueuedRequest& queued_request) { return queued_request.id == event.id; });
  --state.queued;
  if (account.queue.empty()) state.RemoveFromActive(account);
}

void AccountLimiter::Impl::On(const LimiterLimitsChanged& event, Instant now) {
  for (auto& [name, state] : this->classes) state.limits.clear();
  for (const ClassLimits& limits : event.classes) {
    ClassState& state = this->ClassFor(limits.request_class);
    for (const wire::AccountLimit& limit : limits.limits) {
      state.limits.emplace(limit.account(), limit);
    }
  }
  for (auto& [name, state] : this->classes) {
    for (auto& [account_name, account] : state.accounts) this->SetLimits(state, account, now);
  }
}

void AccountLimiter::Impl::On(const LimiterEntryCount& event, Instant now) {
  this->live_entries = std::max<std::uint32_t>(event.live, 1);
  for (auto& [name, state] : this->classes) {
    for (auto& [account_name, account] : state.accounts) this->SetLimits(state, account, now);
  }
}

void AccountLimiter::Impl::On(const LimiterSlots& event, Instant now) {
  ClassState& state = this->ClassFor(event.request_class);
  state.slots = event.slots;
  this->AdmitQueued(state, now);
}

void AccountLimiter::Impl::On(const LimiterTick&, Instant now) {
  for (auto& [name, state] : this->classes) {
    this->RefuseExpired(state, now);
    this->RemoveIdleAccounts(state, now);
  }
}

ClassState& AccountLimiter::Impl::ClassFor(const std::string& name) {
  const auto [found, added] = this->classes.try_emplace(name);
  if (added) {
    found->second.slots = this->options.slots;
    found->second.mean_service_time = this->options.initial_service_time;
  }
  return found->second;
}

Account& AccountLimiter::Impl::AccountFor(ClassState& state, const std::string& name, Instant now) {
  const auto [found, added] = state.accounts.try_emplace(name);
  Account& account = found->second;
  if (!added) return account;
  account.name = name;
  account.refilled = now;
  this->SetLimits(state, account, now);
  account.tokens = account.burst;
  return account;
}

void AccountLimiter::Impl::SetLimits(const ClassState& state, Account& account, Instant now) const {
  account.Refill(now);
  const wire::AccountLimit* limit = state.LimitFor(account.name);
  const double entries = this->live_entries;
  account.rate = limit == nullptr ? 0 : limit->rate_per_second() / entries;
  account.burst = std::max(1.0, account.rate * ToSeconds(this->options.burst_period));
  account.tokens = std::min(account.tokens, account.burst);
  const double concurrency = limit == nullptr ? 0 : limit->concurrency();
  account.concurrency = concurrency == 0 ? 0 : std::max(1.0, std::floor(concurrency / entries));
  account.weight = limit == nullptr || limit->share() <= 0 ? 1 : limit->share();
}

std::optional<Error> AccountLimiter::Impl::RefusalFor(const ClassState& state,
                                                      const Account& account,
                                                      const LimiterArrival& event,
                                                      Instant now) const {
  if (now >= event.deadline) {
    return Error{.kind = ErrorKind::kDeadlineUnmeetable, .detail = "the deadline has passed"};
  }
  if (account.concurrency > 0 && static_cast<double>(account.InFlight()) >= account.concurrency) {
    return Refusal(ErrorKind::kConcurrencyLimited, "too many requests of this account in progress",
                   state.mean_service_time);
  }
  if (account.rate > 0 && account.tokens < 1) {
    return Refusal(ErrorKind::kRateLimited, "the account's rate limit is reached",
                   FromSeconds((1 - account.tokens) / account.rate));
  }
  if (state.HasFreeSlot() && state.queued == 0) return std::nullopt;
  return this->QueueRefusal(state, account, event, now);
}

std::optional<Error> AccountLimiter::Impl::QueueRefusal(const ClassState& state,
                                                        const Account& account,
                                                        const LimiterArrival& event,
                                                        Instant now) const {
  const double size = static_cast<double>(account.queue.size());
  if (account.queue.size() >= this->options.max_queued ||
      state.queued >= this->options.max_queued_of_class) {
    return Refusal(ErrorKind::kOverloaded, "the queue is full", state.WaitFor(account, size));
  }
  const auto ahead = static_cast<double>(std::count_if(
      account.queue.begin(), account.queue.end(), [&](const QueuedRequest& queued_request) {
        return queued_request.priority >= event.priority;
      }));
  const Duration expected = state.WaitFor(account, ahead + 1) + state.mean_service_time;
  if (now + expected <= event.deadline) return std::nullopt;
  return Refusal(ErrorKind::kDeadlineUnmeetable,
                 "expected to end after " + std::to_string(ToMillis(expected)) + " ms",
                 state.WaitFor(account, size));
}

void AccountLimiter::Impl::EnqueueRequest(ClassState& state, Account& account,
                                          const LimiterArrival& event) {
  if (account.queue.empty()) state.active.push_back(account.name);
  account.Enqueue(
      QueuedRequest{.id = event.id, .priority = event.priority, .deadline = event.deadline});
  ++state.queued;
}

void AccountLimiter::Impl::Admit(ClassState& state, Account& account, std::uint64_t id,
                                 Instant now) {
  Request& request = this->requests.at(id);
  request.running = true;
  request.started = now;
  ++state.running;
  ++account.running;
  this->actions.emplace_back(LimiterAdmit{.id = id});
}

void AccountLimiter::Impl::AdmitQueued(ClassState& state, Instant now) {
  this->RefuseExpired(state, now);
  while (state.HasFreeSlot() && state.queued > 0) {
    Account& account = state.NextAccount();
    const QueuedRequest next = account.queue.front();
    account.queue.pop_front();
    --state.queued;
    account.deficit -= 1;
    this->Admit(state, account, next.id, now);
    if (account.queue.empty()) {
      state.RemoveFromActive(account);
    } else if (account.deficit < 1) {
      state.RotateActive();
    }
  }
}

void AccountLimiter::Impl::RefuseExpired(ClassState& state, Instant now) {
  for (auto& [name, account] : state.accounts) {
    if (account.queue.empty()) continue;
    const std::size_t removed =
        std::erase_if(account.queue, [&](const QueuedRequest& queued_request) {
          if (now < queued_request.deadline) return false;
          this->requests.erase(queued_request.id);
          this->Refuse(queued_request.id, Error{.kind = ErrorKind::kDeadlineUnmeetable,
                                                .detail = "the deadline passed in the queue"});
          return true;
        });
    state.queued -= removed;
    if (account.queue.empty()) state.RemoveFromActive(account);
  }
}

void AccountLimiter::Impl::RemoveIdleAccounts(ClassState& state, Instant now) {
  std::erase_if(state.accounts, [&](const auto& row) {
    const Account& account = row.second;
    return account.InFlight() == 0 && account.HasFullBucket(now);
  });
}

void AccountLimiter::Impl::Refuse(std::uint64_t id, Error error) {
  this->actions.emplace_back(LimiterRefuse{.id = id, .error = std::move(error)});
}

AccountLimiter::AccountLimiter(AccountLimiterOptions options)
    : impl(std::make_unique<Impl>(Impl{.options = options})) {}
AccountLimiter::~AccountLimiter() = default;

std::vector<LimiterAction> AccountLimiter::Handle(const LimiterEvent& event, Instant now) {
  std::visit([&](const auto& typed) { this->impl->On(typed, now); }, event);
  return std::exchange(this->impl->actions, {});
}

std::size_t AccountLimiter::Queued() const {
  std::size_t queued = 0;
  for (const auto& [name, state] : this->impl->classes) queued += state.queued;
  return queued;
}

std::size_t AccountLimiter::Running() const {
  std::size_t running = 0;
  for (const auto& [name, state] : this->impl->classes) running += state.running;
  return running;
}

std::size_t AccountLimiter::Accounts() const {
  std::size_t accounts = 0;
  for (const auto& [name, state] : this->impl->classes) accounts += state.accounts.size();
  return accounts;
}

}  // namespace savory
