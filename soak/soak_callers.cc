#include "soak/soak_callers.h"

#include <algorithm>
#include <array>
#include <cmath>

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

void SoakCallers::SendNext() {
  if (this->stopped) return;
  const double interval = -std::log(1 - UniformUnit(this->random)) / std::max(0.001, this->rate);
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

void SoakCallers::SendOne() {
  const std::size_t entry = this->DrawEntry();
  double draw = UniformUnit(this->random);
  std::size_t index = 0;
  while (index + 1 < kRouteShares.size() && draw >= kRouteShares[index]) {
    draw -= kRouteShares[index++];
  }
  const RouteRule& route = this->rules.routes[index];
  const AccountRule& account =
      this->rules.accounts[UniformBelow(this->random, this->rules.accounts.size())];
  this->Send(entry, route, account, "");
}

void SoakCallers::Send(std::size_t entry, const RouteRule& route, const AccountRule& account,
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
  this->checker.OnSent({.request = request,
                        .route = route,
                        .account = account.name,
                        .entry_vm = this->layout.EntryVm(entry),
                        .sent = this->loop.Now()});
  ++this->in_progress;
  platform::StartCall(this->loop, *this->connections[entry], request,
                      [this, id](const platform::CallerAnswer& answer) {
                        --this->in_progress;
                        this->checker.OnAnswered(id, answer, this->loop.Now());
                      });
}

}  // namespace savory
