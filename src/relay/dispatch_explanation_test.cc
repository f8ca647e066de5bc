#include "relay/dispatch_explanation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "relay/dispatcher.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEngines = 9;
constexpr std::size_t kAllViews = 100;
const std::vector<std::string> kZones = {"dc-a", "dc-b", "dc-c"};

// One drawn event; what `what`, `first` and `second` mean depends on the kind.
struct Step {
  int what = 0;
  int first = 0;
  int second = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << '{' << step.what << ' ' << step.first << ' ' << step.second << '}';
}

rc::Gen<std::vector<Step>> Schedules() {
  const auto step = rc::gen::build<Step>(rc::gen::set(&Step::what, rc::gen::inRange(0, 18)),
                                         rc::gen::set(&Step::first, rc::gen::inRange(0, 1000)),
                                         rc::gen::set(&Step::second, rc::gen::inRange(0, 1000)));
  return rc::gen::mapcat(rc::gen::inRange<std::size_t>(30, 200), [step](std::size_t count) {
    return rc::gen::container<std::vector<Step>>(count, step);
  });
}

std::string TextOf(const RefuseRequest& refusal) {
  std::ostringstream text;
  text << "refuse " << static_cast<int>(refusal.kind) << ' ' << refusal.retry_after.count() << ' '
       << refusal.usable << ' ' << refusal.share << ' ' << refusal.confirmed << ' ' << refusal.own
       << ' ' << refusal.borrowable << ' ' << refusal.best << ' ' << refusal.predicted.count()
       << ' ' << refusal.load << ' ' << refusal.limited;
  return text.str();
}

std::string TextOf(const DispatchVerdict& verdict) {
  if (const auto* refusal = std::get_if<RefuseRequest>(&verdict.decision)) return TextOf(*refusal);
  const auto* sent = std::get_if<SendTo>(&verdict.decision);
  if (sent == nullptr) return "wait";
  std::ostringstream text;
  text << "send " << sent->upstream << ' ' << sent->address << ' ' << sent->weights_version << ' '
       << sent->predicted.count() << ' ' << sent->load << ' ' << sent->report_age.count() << ' '
       << LeavingReasonName(sent->left);
  return text.str();
}

// An entry in "dc-a" of region "west", beside engines in three data centres and plain services.
struct World {
  Random random{20261207};
  Instant now = Instant(std::chrono::hours(1));
  AttemptNumber next_attempt = 1;
  std::vector<AttemptNumber> sent = {};
  Dispatcher dispatcher{
      {.data_centre = "dc-a",
       .placement = {.regions = {{"dc-a", "west"}, {"dc-b", "west"}, {"dc-c", "east"}},
                     .cold = {.overrun = 1.5, .slack = 2}},
       .entry = "entry-0",
       .leaving = {.data_centre = "dc-a", .entry = "entry-0"},
       .min_followed_engines = 3},
      random};

  explicit World(bool knows_ways) {
    RoutingRules rules{.version = 1};
    rules.pools.push_back({.name = "chat",
                           .engine = EngineRates{.slots = 4},
                           .models = {"m"},
                           .cold = {.after_start = seconds(5), .requests_per_second = 3}});
    rules.pools.push_back({.name = "ledger"});
    rules.accounts.push_back({.name = "kochi", .homes = HomeRegions({"west"})});
    if (knows_ways) {
      rules.ways = {{.from = "dc-a", .to = "dc-b", .delay = milliseconds(2)},
                    {.from = "dc-a", .to = "dc-c", .delay = milliseconds(9)}};
    }
    this->dispatcher.SetRules(std::make_shared<const RoutingIndex>(std::move(rules)));
    for (int i = 0; i < 2 * kEngines; ++i) this->dispatcher.SetUpstream(Listed(i));
  }

  static std::string AddressOf(int number) { return "10.0.0." + std::to_string(number) + ":80"; }
  // Engines, then plain services.
  static Upstream Listed(int number) {
    const bool is_engine = number < kEngines;
    return {.id = "u-" + std::to_string(number),
            .pool = is_engine ? "chat" : "ledger",
            .address = AddressOf(number),
            .data_centre = kZones[static_cast<std::size_t>(number) % kZones.size()],
            .slots = 4,
            .started_unix_ms = 1,
            .weights_version = is_engine ? 1u : 0u,
            .is_engine = is_engine};
  }

  DispatchRequest Drawn(const Step& step) {
    const int bits = step.first;
    DispatchRequest request{.attempt = this->next_attempt++,
                            .pool = bits % 50 == 0  ? "none"
                                    : bits % 5 == 0 ? "ledger"
                                                    : "chat",
                            .arrived = this->now,
                            .target = milliseconds(400),
                            .deadline = this->now + milliseconds(200 + 5 * step.second),
                            .priority = step.second % 3,
                            .prompt_tokens = 30u * static_cast<std::uint32_t>(step.second),
                            .answer_tokens = 100,
                            .max_pause = milliseconds(300),
                            .is_caller_retry = bits % 7 == 0,
                            .may_probe = bits % 3 != 0};
    if (bits % 4 == 0) request.homes = HomeRegions({bits % 8 == 0 ? "east" : "west"});
    return request;
  }

  void Apply(const Step& step) {
    const int number = step.first % (2 * kEngines);
    const std::string id = "u-" + std::to_string(number);
    const UpstreamStart start{.id = id, .started_unix_ms = 1};
    switch (step.what) {
      case 0:
      case 1: {
        const bool accepting = step.second % 6 != 0;
        this->dispatcher.AddReport(
            {.address = AddressOf(number % kEngines),
             .load = {.running = static_cast<std::uint32_t>(step.second % 7)},
             .accepting = accepting,
             .weights_version = accepting ? 1u + static_cast<unsigned>(step.second % 11 == 0) : 0u,
             .pace = 1 + step.second % 3 * 0.5},
            this->now);
        return;
      }
      case 2:
        return this->dispatcher.SetEvacuated(kZones[static_cast<std::size_t>(step.first % 3)],
                                             step.second % 3 == 0, this->now);
      case 3:
      case 4:
        return this->End(step);
      case 5:
      case 6:
        this->now += milliseconds(step.second % (step.first % 5 == 0 ? 1000 : 60));
        return;
      case 7:
        if (step.second % 3 == 0) this->dispatcher.AddLeaving(start, this->now);
        this->dispatcher.AddWait(start, milliseconds(step.second), this->now);
        return;
      case 8:
        return this->dispatcher.SetCold(id, milliseconds(4 * step.second), this->now);
      case 9:
        return this->dispatcher.SetWeightsRules(
            "chat", {{.version = 2,
                      .enforced_at = this->now + milliseconds(10 * step.second),
                      .deadline = this->now + milliseconds(10 * step.second + 500)}});
      case 10:
        return this->SetEntries(1 + step.second % 4);
      case 11:
        return this->Relist(number, step.second % 3);
      default:
        return;
    }
  }

  void End(const Step& step) {
    if (this->sent.empty()) return;
    const auto at = this->sent.begin() + step.first % static_cast<int>(this->sent.size());
    if (step.second % 4 == 0) return this->dispatcher.OnFirstEvent(*at, this->now);
    const auto result = static_cast<AttemptResult>(step.second % 7);
    this->dispatcher.OnEnded(*at, result, this->now);
    this->sent.erase(at);
  }

  void SetEntries(int count) {
    std::vector<EntryDemand> entries;
    entries.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      entries.push_back({.entry = "entry-" + std::to_string(i),
                         .data_centre = kZones[static_cast<std::size_t>(i) % kZones.size()],
                         .requests_per_second = 50});
    }
    this->dispatcher.SetEntries(std::move(entries));
  }

  void Relist(int number, int how) {
    Upstream upstream = Listed(number);
    if (how == 0) return this->dispatcher.RemoveUpstream(upstream.id);
    upstream.draining = how == 1;
    this->dispatcher.SetUpstream(upstream);
  }

  std::string Submit(const DispatchRequest& request) {
    const DispatchVerdict verdict = this->dispatcher.Submit(request, this->now);
    this->Note(verdict);
    return TextOf(verdict);
  }

  std::string Poll() {
    std::string text;
    for (const DispatchVerdict& verdict : this->dispatcher.Poll(this->now)) {
      this->Note(verdict);
      text += std::to_string(verdict.attempt) + ' ' + TextOf(verdict) + '\n';
    }
    return text;
  }

  void Note(const DispatchVerdict& verdict) {
    if (std::holds_alternative<SendTo>(verdict.decision)) this->sent.push_back(verdict.attempt);
  }
};

// The rows of an explanation must agree with its decision.
void CheckViews(const DispatchExplanation& explanation) {
  RC_ASSERT(!explanation.barred.contains(CandidateBar::kOther));
  RC_ASSERT(explanation.views.size() == explanation.upstreams);
  if (const auto* refusal = std::get_if<RefuseRequest>(&explanation.verdict.decision)) {
    RC_ASSERT(refusal->usable == explanation.candidates);
    RC_ASSERT(explanation.with_room == 0u || explanation.yields);
  }
  const auto* sent = std::get_if<SendTo>(&explanation.verdict.decision);
  if (sent == nullptr) return;
  const UpstreamView& chosen = explanation.views.front();
  RC_ASSERT(chosen.is_chosen && chosen.has_room && chosen.bar == CandidateBar::kNone);
  RC_ASSERT(chosen.id == sent->upstream && chosen.load == sent->load);
  RC_ASSERT(chosen.first_event == sent->predicted);
}

// Two entries see the same; one of them is asked before each request. Guards against an explanation
// that differs from the decision, and against a question that changes any later one.
RC_GTEST_PROP(DispatchExplanationProperty, TellsTheDecisionAndChangesNone, ()) {
  const bool knows_ways = *rc::gen::arbitrary<bool>();
  World asked(knows_ways);
  World left_alone(knows_ways);
  std::set<std::string> seen;
  for (const Step& step : *Schedules()) {
    asked.Apply(step);
    left_alone.Apply(step);
    if (step.what < 12) continue;
    if (step.what == 12) {
      RC_ASSERT(asked.Poll() == left_alone.Poll());
      continue;
    }
    const DispatchRequest request = asked.Drawn(step);
    const DispatchRequest same = left_alone.Drawn(step);
    const DispatchExplanation explanation = asked.dispatcher.Explain(request, asked.now, kAllViews);
    CheckViews(explanation);
    const std::string decided = asked.Submit(request);
    RC_ASSERT(TextOf(explanation.verdict) == decided);
    RC_ASSERT(decided == left_alone.Submit(same));
    seen.insert(decided.substr(0, decided.find(' ')));
    for (const auto& [bar, count] : explanation.barred) {
      seen.insert(std::string(CandidateBarName(bar)));
    }
  }
  for (const std::string& name : seen) RC_TAG(name);
}

DispatchRequest Chat(Instant now) {
  return {.pool = "chat",
          .arrived = now,
          .target = milliseconds(400),
          .deadline = now + seconds(6),
          .max_pause = milliseconds(300),
          .may_probe = true};
}

// Guards against an answer that grows with the fleet, and against a wait without its end.
TEST(DispatchExplanationTest, ListsFewUpstreamsAndTellsWhatFollowsAWait) {
  World world(false);
  for (int i = 0; i < kEngines; ++i) {
    world.dispatcher.AddReport(
        {.address = World::AddressOf(i), .load = {.running = 40}, .weights_version = 1}, world.now);
  }
  DispatchExplanation explanation = world.dispatcher.Explain(Chat(world.now), world.now, 2);
  EXPECT_EQ(explanation.views.size(), 2u);
  EXPECT_EQ(explanation.views_left_out, static_cast<std::size_t>(kEngines - 2));
  EXPECT_EQ(explanation.candidates, static_cast<std::size_t>(kEngines));
  EXPECT_TRUE(std::holds_alternative<KeepWaiting>(explanation.verdict.decision));
  EXPECT_EQ(explanation.waits_for, milliseconds(50));
  ASSERT_TRUE(explanation.after_wait.has_value());
  EXPECT_EQ(explanation.after_wait->kind, ErrorKind::kOverloaded);
  EXPECT_GT(explanation.after_wait->retry_after, Duration(0));
}

// Guards against zones that operators emptied, upstreams that leave and homes that show as others.
TEST(DispatchExplanationTest, NamesWhyUpstreamsAreNoCandidates) {
  World world(false);
  world.dispatcher.SetEvacuated("dc-b", true, world.now);
  world.dispatcher.AddLeaving({.id = "u-0", .started_unix_ms = 1}, world.now);
  world.dispatcher.AddWait({.id = "u-3", .started_unix_ms = 1}, seconds(2), world.now);
  DispatchRequest request = Chat(world.now);
  request.homes = HomeRegions({"west"});
  const DispatchExplanation explanation = world.dispatcher.Explain(request, world.now, kAllViews);
  const std::map<CandidateBar, std::size_t> expected = {{CandidateBar::kOutsideHomes, 3},
                                                        {CandidateBar::kEvacuated, 3},
                                                        {CandidateBar::kLeaving, 1},
                                                        {CandidateBar::kWaiting, 1}};
  EXPECT_EQ(explanation.barred, expected);
  EXPECT_EQ(explanation.views.front().id, "u-6");
  const auto waiting = std::ranges::find(explanation.views, "u-3", &UpstreamView::id);
  EXPECT_EQ(waiting->usable_in, seconds(2));
}

}  // namespace
}  // namespace savory
