#include "soak/soak_callers.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "platform/testing/eager_caller.h"
#include "platform/testing/engine_standin.h"
#include "runtime/event_loop.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr Duration kProbePeriod = milliseconds(500);
// Callers disconnect this long after the route's timeout.
constexpr Duration kExtraPatience = milliseconds(1000);
// Some callers disconnect early: with this probability, after the minimum delay plus a random part
// of the spread.
constexpr double kCancelProbability = 0.05;
constexpr Duration kMinCancelDelay = milliseconds(40);
constexpr Duration kCancelDelaySpread = milliseconds(250);
// Copies of a request that ends its upstreams that are sent at the same time.
constexpr int kCopiesAtOnce = 2;
// Parts of prompts on one subject, of which each stream has one.
constexpr std::uint64_t kSubjects = 12;
constexpr Duration kConnectionIdle = milliseconds(4000);
// Request shares of the routes in the order of SoakLayout::Rules: chat, feed, book, read, moved.
constexpr std::array<double, 5> kRouteShares = {0.40, 0.20, 0.15, 0.10, 0.15};

// With long answers: how long requests take.
constexpr Duration kMinStreamTime = milliseconds(400);
constexpr Duration kMaxStreamTime = milliseconds(6000);
constexpr Duration kMinPlainTime = milliseconds(1000);
constexpr Duration kMaxPlainTime = milliseconds(2500);
// Connections that are kept busy, and what is drawn for each of their requests.
constexpr std::size_t kEagerPerEntry = 4;
constexpr double kRateBesideEager = 0.5;   // share of the usual rate that is sent besides
constexpr double kMoveProbability = 0.15;  // to any entry VM, so that none keeps all callers
constexpr Duration kReconnectDelay = milliseconds(100);
constexpr double kLargeAnswerProbability = 0.3;
constexpr double kPiecesProbability = 0.3;
constexpr std::size_t kMaxExtraPieces = 5;
constexpr Duration kMaxPieceGap = milliseconds(100);
constexpr double kReadPauseProbability = 0.35;
constexpr Duration kMaxReadPause = milliseconds(2500);
constexpr double kPipelineProbability = 0.25;
constexpr Duration kPipelinePatience = milliseconds(7000);
constexpr int kOk = 200;

Duration DrawWorkTime(Random& random, RequestKind kind) {
  const bool streams = kind == RequestKind::kStream;
  const Duration shortest = streams ? kMinStreamTime : kMinPlainTime;
  const Duration longest = streams ? kMaxStreamTime : kMaxPlainTime;
  return shortest + FromSeconds(ToSeconds(longest - shortest) * UniformUnit(random));
}

}  // namespace

SoakCallers::SoakCallers(EventLoop& loop, Checker& checker, const SoakLayout& layout,
                         std::uint64_t seed)
    : loop(loop),
      checker(checker),
      layout(layout),
      random(seed),
      probes(loop, this->metrics, {}),
      rules(layout.Rules(1, "alpha")),
      ready(layout.entries, false) {
  for (std::size_t i = 0; i < layout.entries; ++i) {
    this->connections.push_back(std::make_unique<HttpConnectionPool>(
        loop, this->metrics, HttpConnectionPoolOptions{.idle_timeout = kConnectionIdle}));
  }
}

void SoakCallers::Start(double requests_per_second) {
  this->rate = requests_per_second;
  this->loop.Every(kProbePeriod, [this] { this->Probe(); });
  this->Probe();
  this->SendNext();
  if (this->layout.long_answers) this->StartEager();
}

std::size_t SoakCallers::ReadyEntries() const {
  return static_cast<std::size_t>(std::count(this->ready.begin(), this->ready.end(), true));
}

void SoakCallers::Probe() {
  for (std::size_t i = 0; i < this->layout.entries; ++i) {
    platform::ProbeReady(this->loop, this->probes, this->layout.ProbeAddress(i),
                         [this, i](bool is_ready) { this->ready[i] = is_ready; });
  }
}

double SoakCallers::Rate() const {
  return this->layout.long_answers ? kRateBesideEager * this->rate : this->rate;
}

void SoakCallers::SendNext() {
  if (this->stopped) return;
  const double interval = -std::log(1 - UniformUnit(this->random)) / std::max(0.001, this->Rate());
  this->loop.After(FromSeconds(interval), [this] { this->SendNext(); });
  if (this->ReadyEntries() > 0) this->SendOne();
}

bool SoakCallers::IsUsable(std::size_t entry) const {
  return this->ready[entry] || this->connections[entry]->IdleConnections() > 0;
}

std::size_t SoakCallers::DrawEntry() {
  std::size_t entry = UniformBelow(this->random, this->layout.entries);
  while (!this->IsUsable(entry)) entry = (entry + 1) % this->layout.entries;
  return entry;
}

void SoakCallers::RepeatCrashing(const std::string& body, int times, Duration period) {
  if (this->stopped || times == 0) return;
  if (this->ReadyEntries() > 0) {
    const auto route = std::find_if(this->rules.routes.begin(), this->rules.routes.end(),
                                    [](const RouteRule& rule) { return rule.name == "chat"; });
    for (int i = 0; i < kCopiesAtOnce; ++i) {
      this->Send(this->DrawEntry(), *route, this->rules.accounts.front(), body);
    }
  }
  this->loop.After(period,
                   [this, body, times, period] { this->RepeatCrashing(body, times - 1, period); });
}

void SoakCallers::SendCrashingPart(const std::string& part, int times, Duration period) {
  if (this->stopped || times == 0) return;
  if (this->ReadyEntries() > 0) {
    const auto route = std::ranges::find(this->rules.routes, "chat", &RouteRule::name);
    const std::size_t account = UniformBelow(this->random, this->rules.accounts.size());
    this->Send(this->DrawEntry(), *route, this->rules.accounts[account], "", part);
  }
  this->loop.After(
      period, [this, part, times, period] { this->SendCrashingPart(part, times - 1, period); });
}

std::string SoakCallers::DrawPrompt(const std::string& account, const std::string& part,
                                    const std::string& own) {
  std::string prompt = "c0mm0n:40,";
  if (!part.empty()) prompt += part + ":60,";
  prompt += account + ":100,subject" + std::to_string(UniformBelow(this->random, kSubjects));
  return prompt + ":120," + own + ":50";
}

const RouteRule& SoakCallers::DrawRoute() {
  double draw = UniformUnit(this->random);
  std::size_t index = 0;
  while (index + 1 < kRouteShares.size() && draw >= kRouteShares[index]) {
    draw -= kRouteShares[index++];
  }
  return this->rules.routes[index];
}

void SoakCallers::SendOne() {
  const std::size_t entry = this->DrawEntry();
  const RouteRule& route = this->DrawRoute();
  const AccountRule& account =
      this->rules.accounts[UniformBelow(this->random, this->rules.accounts.size())];
  this->Send(entry, route, account, "");
}

platform::CallerRequest SoakCallers::MakeRequest(std::size_t entry, const RouteRule& route,
                                                 const AccountRule& account,
                                                 const std::string& body, const std::string& part) {
  const bool is_crashing = !body.empty();
  std::string id(16, '0');
  for (char& digit : id) digit = "0123456789abcdef"[UniformBelow(this->random, 16)];
  platform::CallerRequest request{
      .entry = this->layout.CallerAddress(entry),
      .attempt_id = id,
      .host = route.host,
      .target = route.path_prefix + "x?n=" + (is_crashing ? body : id.substr(0, 4)),
      .api_key = account.api_keys.front(),
      .body = is_crashing ? body : "body of " + id,
      .time_left = route.timeout + kExtraPatience};
  if (route.kind == RequestKind::kStream) {
    request.prompt = this->DrawPrompt(account.name, part, id);
  }
  if (!is_crashing && part.empty() && UniformUnit(this->random) < kCancelProbability) {
    request.cancel_after =
        kMinCancelDelay + FromSeconds(ToSeconds(kCancelDelaySpread) * UniformUnit(this->random));
  }
  // Copies of a crashing request are the same request, and it ends before its work is done.
  if (this->layout.long_answers && !is_crashing) {
    request.target += "&ms=" + std::to_string(ToMillis(DrawWorkTime(this->random, route.kind)));
  }
  return request;
}

void SoakCallers::Send(std::size_t entry, const RouteRule& route, const AccountRule& account,
                       const std::string& body, const std::string& part) {
  const platform::CallerRequest request = this->MakeRequest(entry, route, account, body, part);
  this->checker.OnSent({.request = request,
                        .route = route,
                        .account = account.name,
                        .entry_vm = this->layout.EntryVm(entry),
                        .sent = this->loop.Now()});
  ++this->in_progress;
  platform::StartCall(this->loop, *this->connections[entry], request,
                      [this, id = request.attempt_id](const platform::CallerAnswer& answer) {
                        --this->in_progress;
                        this->checker.OnAnswered(id, answer, this->loop.Now());
                      });
}

// ---- callers that keep their connections busy ----

class SoakCallers::EagerConnection : public platform::EagerCallerListener {
 public:
  EagerConnection(SoakCallers& callers, std::size_t entry) : callers(callers), entry(entry) {
    this->Connect();
  }

  std::optional<platform::EagerRequest> NextRequest() override {
    if (this->callers.stopped) return std::nullopt;
    if (UniformUnit(this->callers.random) < kMoveProbability) {
      this->serves = false;
      return std::nullopt;
    }
    return this->callers.DrawEager(this->entry);
  }
  void OnLastByteSent(std::string_view attempt_id) override {
    this->callers.checker.OnLastByteSent(attempt_id, this->callers.loop.Now());
  }
  void OnAnswer(std::string_view attempt_id, const platform::CallerAnswer& answer) override {
    --this->callers.in_progress;
    this->serves = answer.state == platform::AnswerState::kComplete && answer.status == kOk;
    this->callers.checker.OnAnswered(attempt_id, answer, this->callers.loop.Now());
  }
  void OnClosed() override {
    this->callers.loop.After(kReconnectDelay, [this] { this->Reconnect(); });
  }

 private:
  void Connect() {
    this->caller = std::make_unique<platform::EagerCaller>(
        this->callers.loop, this->callers.layout.CallerAddress(this->entry), *this);
  }

  // To the same entry VM while it serves.
  void Reconnect() {
    this->caller.reset();
    if (this->callers.stopped) return;
    if (!std::exchange(this->serves, false)) {
      if (this->callers.ReadyEntries() == 0) return this->OnClosed();
      do {
        this->entry = UniformBelow(this->callers.random, this->callers.layout.entries);
      } while (!this->callers.ready[this->entry]);
    }
    this->Connect();
  }

  SoakCallers& callers;
  std::size_t entry;
  bool serves = false;  // the latest answer was a success
  std::unique_ptr<platform::EagerCaller> caller = {};
};

SoakCallers::~SoakCallers() = default;

void SoakCallers::StartEager() {
  for (std::size_t i = 0; i < kEagerPerEntry * this->layout.entries; ++i) {
    this->eager.push_back(std::make_unique<EagerConnection>(*this, i % this->layout.entries));
  }
}

platform::EagerRequest SoakCallers::DrawEager(std::size_t entry) {
  const auto happens = [this](double probability) {
    return UniformUnit(this->random) < probability;
  };
  const RouteRule& route = this->DrawRoute();
  const AccountRule& account =
      this->rules.accounts[UniformBelow(this->random, this->rules.accounts.size())];
  platform::EagerRequest eager{.request = this->MakeRequest(entry, route, account, "", "")};
  eager.request.cancel_after.reset();
  if (route.kind == RequestKind::kStream && happens(kLargeAnswerProbability)) {
    const std::string_view mark = platform::kLargeAnswerPrefix;
    eager.request.attempt_id.replace(0, mark.size(), mark);
  }
  if (happens(kPiecesProbability)) {
    eager.body_pieces = 2 + UniformBelow(this->random, kMaxExtraPieces);
    eager.piece_gap = FromSeconds(ToSeconds(kMaxPieceGap) * UniformUnit(this->random));
  }
  if (happens(kReadPauseProbability)) {
    eager.read_pause = FromSeconds(ToSeconds(kMaxReadPause) * UniformUnit(this->random));
  }
  eager.sends_next_at_once = happens(kPipelineProbability);
  // It may wait for the whole answer before it.
  eager.request.time_left += eager.body_pieces * eager.piece_gap + kPipelinePatience;
  this->checker.OnSent({.request = eager.request,
                        .route = route,
                        .account = account.name,
                        .entry_vm = this->layout.EntryVm(entry),
                        .sent = this->loop.Now(),
                        .in_pieces = true});
  ++this->in_progress;
  return eager;
}

}  // namespace savory
