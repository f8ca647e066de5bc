// A pause of the agent, on real processes of the product.
#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <future>
#include <thread>

#include "apps/process_group.h"
#include "apps/request_fleet.h"
#include "runtime/http_client.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kBasePort = 12'000;
constexpr int kDeadlineMs = 1'500;
constexpr Duration kPause = seconds(4);
constexpr int kCallers = 8;

wire::Tables MakeTables() {
  wire::Tables tables;
  tables.set_revision(1);
  tables.set_edit_id("test");
  wire::Pool& pool = *tables.add_pools();
  pool.set_name("bookings");
  pool.set_service("bookings");
  wire::Route& route = *tables.add_routes();
  route.set_name("read");
  route.set_path_prefix("/read");
  route.set_pool("bookings");
  route.set_idempotent(true);
  route.set_deadline_ms(kDeadlineMs);
  return tables;
}

// Guards against a request that runs after its caller was answered, because its start waited at an
// agent that was paused for longer than the request's deadline.
TEST(PausedAgentTest, RequestThatWaitedBeyondItsDeadlineDoesNotRun) {
  ProcessGroup processes;
  RequestFleet fleet(
      processes, {.bin_directory = std::filesystem::read_symlink("/proc/self/exe").parent_path(),
                  .base_port = kBasePort,
                  .entries = 1,
                  .agents = 1,
                  .latency_ms = 5});
  const auto started = fleet.Start(MakeTables());
  ASSERT_TRUE(started) << started.error().detail;
  const auto call = [&fleet](const std::string& key) {
    const auto answer = HttpClient(fleet.EntryHttp(0))
                            .Call({.target = "/read",
                                   .headers = {{"Idempotency-Key", key}},
                                   .read_timeout = seconds(20)});
    return answer ? answer.value().status : 0;
  };
  const Instant limit = MonotonicClock::now() + seconds(10);
  while (call("first") != 200) ASSERT_LT(MonotonicClock::now(), limit);

  const Instant stopped = MonotonicClock::now();
  ASSERT_TRUE(processes.Signal(RequestFleet::AgentName(0), SIGSTOP));
  std::vector<std::future<int>> waiting;
  waiting.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    waiting.push_back(std::async(std::launch::async, call, "late-" + std::to_string(i)));
  }
  for (std::future<int>& status : waiting) EXPECT_NE(status.get(), 200);
  std::this_thread::sleep_for(stopped + kPause - MonotonicClock::now());
  ASSERT_TRUE(processes.Signal(RequestFleet::AgentName(0), SIGCONT));
  std::this_thread::sleep_for(seconds(2));
  int runs = 0;
  for (const auto& [key, count] : fleet.CountRuns()) runs += key.starts_with("late") ? count : 0;
  EXPECT_EQ(runs, 0);
  // Later requests are served as before.
  const Instant again = MonotonicClock::now() + seconds(10);
  while (call("last") != 200) ASSERT_LT(MonotonicClock::now(), again);
}

// Guards against a start that counts as a pause since the machine's start: the agent then refused
// for 250 ms all requests as too late.
TEST(PausedAgentTest, StartIsNoPause) {
  ProcessGroup processes;
  RequestFleet fleet(
      processes, {.bin_directory = std::filesystem::read_symlink("/proc/self/exe").parent_path(),
                  .base_port = kBasePort,
                  .entries = 1,
                  .agents = 1,
                  .latency_ms = 5});
  const auto started = fleet.Start(MakeTables());
  ASSERT_TRUE(started) << started.error().detail;
  const std::string log = processes.ReadLog(RequestFleet::AgentName(0));
  EXPECT_NE(log.find("event=started"), std::string::npos);
  EXPECT_EQ(log.find("event=gate_paused"), std::string::npos) << log;
}

}  // namespace
}  // namespace savory
