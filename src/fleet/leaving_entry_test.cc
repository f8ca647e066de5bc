#include <gtest/gtest.h>

#include <optional>

#include "base/metrics.h"
#include "fleet/agent_links.h"
#include "fleet/entry_links.h"
#include "runtime/event_loop.h"
#include "runtime/peer_transport.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kPeerPort = 27124;
constexpr char kEntry[] = "127.79.2.1";
constexpr char kAgent[] = "127.79.2.3";

std::string PeerAt(const std::string& host) { return host + ":" + std::to_string(kPeerPort); }

// An entry takes leave while its last requests run, and an agent stops its engine or lets it serve
// again. Guards against sending these requests to an engine whose agent is heard no more, and
// against counting the entry among those that share the engine.
TEST(LeavingEntryTest, HearsItsAgentsUntilItsEnd) {
  EventLoop loop;
  const auto run_for = [&loop](Duration time) {
    loop.After(time, [&loop] { loop.Stop(); });
    loop.Run();
  };
  Metrics metrics;
  PeerTransport agent_transport(loop, metrics, {.listen = PeerAt(kAgent), .vm = kAgent});
  AgentLinks agent(loop, agent_transport, metrics,
                   {.region = "r", .agent_port = kPeerPort, .entry_lifetime = milliseconds(500)});
  agent.Start();
  PeerTransport entry_transport(loop, metrics, {.listen = PeerAt(kEntry), .vm = kEntry});
  EntryLinks entry(loop, entry_transport, metrics,
                   {.presence = {.self = PeerAt(kEntry), .hello_period = milliseconds(200)},
                    .region = "r",
                    .peer_port = kPeerPort});
  std::optional<bool> accepting;
  entry.OnReport([&accepting](const EngineReport& report) { accepting = report.accepting; });
  const std::string engine = std::string(kAgent) + ":80";
  entry.SetEngines({{.id = "e", .pool = "p", .address = engine, .is_engine = true}});
  entry.SetFollowedEngines(std::vector{engine});
  entry.Start();
  EngineReport report{.address = engine, .accepting = false};
  loop.Every(milliseconds(100), [&] { agent.Report(report, false); });
  run_for(milliseconds(400));
  EXPECT_EQ(accepting, false);
  EXPECT_EQ(agent.Followers(), 1u);
  entry.Leave();
  run_for(milliseconds(1000));
  EXPECT_EQ(agent.Followers(), 0u);
  report.accepting = true;
  agent.Report(report, true);
  run_for(milliseconds(200));
  EXPECT_EQ(accepting, true);
}

// An entry knows of an engine only through other entries, which tell it no more once it has left.
// Guards against never hearing of that engine again.
TEST(LeavingEntryTest, HearsOfEnginesThatOthersToldItOf) {
  EventLoop loop;
  const auto run_for = [&loop](Duration time) {
    loop.After(time, [&loop] { loop.Stop(); });
    loop.Run();
  };
  Metrics metrics;
  PeerTransport agent_transport(loop, metrics, {.listen = PeerAt(kAgent), .vm = kAgent});
  AgentLinks agent(loop, agent_transport, metrics, {.region = "r", .agent_port = kPeerPort});
  agent.Start();
  PeerTransport entry_transport(loop, metrics, {.listen = PeerAt(kEntry), .vm = kEntry});
  EntryLinks entry(loop, entry_transport, metrics,
                   {.presence = {.self = PeerAt(kEntry), .responsible_entries = 0},
                    .region = "r",
                    .peer_port = kPeerPort});
  int reports = 0;
  entry.OnReport([&reports](const EngineReport&) { ++reports; });
  const std::string engine = std::string(kAgent) + ":80";
  entry.SetEngines({{.id = "e", .pool = "p", .address = engine, .is_engine = true}});
  entry.Start();
  agent.Report({.address = engine}, true);
  run_for(milliseconds(300));
  EXPECT_EQ(reports, 0);
  entry.Leave();
  run_for(milliseconds(300));
  EXPECT_GT(reports, 0);
}

}  // namespace
}  // namespace savory
