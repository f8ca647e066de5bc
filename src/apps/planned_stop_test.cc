// Planned work on real processes of the product, with requests in progress.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <future>
#include <thread>

#include "apps/process_group.h"
#include "apps/request_fleet.h"
#include "runtime/http_client.h"
#include "runtime/socket_address.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kBasePort = 13'000;
constexpr Duration kExitTimeout = seconds(20);
// Larger than what the system takes of an answer before anyone reads it.
constexpr std::size_t kLargeBodyBytes = std::size_t{14} * 1024 * 1024;
// Less than what the system takes.
constexpr std::size_t kTailBytes = std::size_t{1} * 1024 * 1024;
constexpr int kReadBytes = 64 * 1024;

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
  route.set_deadline_ms(30'000);
  return tables;
}

// A caller's connection that is read only when the test says so.
class RawCaller {
 public:
  explicit RawCaller(const std::string& address) {
    // Small, so that the bytes that the caller has not read wait at the entry.
    const int receive_bytes = kReadBytes;
    setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    const auto target = ParseSocketAddress(address);
    EXPECT_EQ(connect(this->socket, reinterpret_cast<const sockaddr*>(&*target), sizeof(*target)),
              0);
    const timeval limit{.tv_sec = 10, .tv_usec = 0};
    setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  ~RawCaller() { close(this->socket); }

  void Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t sent = send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      ASSERT_GT(sent, 0);
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

  void AwaitFirstByte() {
    char byte = 0;
    EXPECT_EQ(recv(this->socket, &byte, 1, MSG_PEEK), 1);
  }

  // Reads `most` bytes, or until the connection ends.
  std::string Read(std::size_t most) {
    std::string all;
    std::string buffer(std::size_t{kReadBytes}, '\0');
    while (all.size() < most) {
      const std::size_t wanted = std::min(buffer.size(), most - all.size());
      const ssize_t count = recv(this->socket, buffer.data(), wanted, 0);
      if (count <= 0) break;
      all.append(buffer, 0, static_cast<std::size_t>(count));
    }
    return all;
  }

 private:
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
};

class PlannedStopTest : public ::testing::Test {
 protected:
  static RequestFleetOptions FleetOptions() {
    return {.bin_directory = std::filesystem::read_symlink("/proc/self/exe").parent_path(),
            .base_port = kBasePort,
            .entries = 1,
            .agents = 1,
            .latency_ms = 600};
  }

  void SetUp() override {
    const auto started = this->fleet.Start(MakeTables());
    ASSERT_TRUE(started) << started.error().detail;
    // The entry learns of the agent and its load.
    const Instant limit = MonotonicClock::now() + seconds(10);
    while (this->Call({.target = "/read"}).status != 200) {
      ASSERT_LT(MonotonicClock::now(), limit);
    }
  }

  // Status 0: the answer broke off.
  HttpAnswer Call(BlockingHttpCall call) const {
    call.read_timeout = seconds(20);
    const auto answer = HttpClient(this->fleet.EntryHttp(0)).Call(call);
    return answer ? answer.value() : HttpAnswer{};
  }

  std::future<HttpAnswer> Begin(const BlockingHttpCall& call) const {
    return std::async(std::launch::async, [this, call] { return this->Call(call); });
  }

  // How many requests the service has begun to run.
  int CountRuns() const {
    int runs = 0;
    for (const auto& [key, count] : this->fleet.CountRuns()) runs += count;
    return runs;
  }

  ProcessGroup processes;
  RequestFleet fleet{this->processes, FleetOptions()};
  const std::string entry = RequestFleet::EntryName(0);
  const std::string agent = RequestFleet::AgentName(0);
};

// Guards against SIGHUP, as sent for new settings or by a closed terminal, that ends a daemon and
// with it every request in progress.
TEST_F(PlannedStopTest, HangupEndsNoRequest) {
  for (const std::string& process : {this->entry, this->agent}) {
    auto answer = this->Begin({.target = "/read?parts=10&part_ms=50"});
    std::this_thread::sleep_for(milliseconds(800));
    ASSERT_TRUE(this->processes.Signal(process, SIGHUP));
    EXPECT_EQ(answer.get().status, 200) << process;
    EXPECT_TRUE(this->processes.IsRunning(process)) << process;
  }
}

// Guards against an agent that exits while the last parts of its answers wait for an entry that
// stands still for a moment.
TEST_F(PlannedStopTest, StoppingAgentSendsAllPartsToASlowEntry) {
  const int runs_before = this->CountRuns();
  ASSERT_GT(runs_before, 0);
  auto answer =
      this->Begin({.method = "POST", .target = "/read", .body = std::string(kLargeBodyBytes, 'x')});
  // An agent that is told to stop refuses what reaches it later.
  const Instant limit = MonotonicClock::now() + seconds(10);
  while (this->CountRuns() <= runs_before) {
    ASSERT_LT(MonotonicClock::now(), limit);
    std::this_thread::sleep_for(milliseconds(10));
  }
  ASSERT_TRUE(this->processes.Signal(this->entry, SIGSTOP));
  ASSERT_TRUE(this->processes.Signal(this->agent, SIGTERM));
  std::this_thread::sleep_for(milliseconds(2800));
  ASSERT_TRUE(this->processes.Signal(this->entry, SIGCONT));
  EXPECT_EQ(answer.get().status, 200);
  EXPECT_EQ(this->processes.WaitForEnd(this->agent, kExitTimeout).value(), 0);
}

// Guards against an entry that closes a connection on which the next request waits unread: the
// system then throws away what the caller has not read of its answer.
TEST_F(PlannedStopTest, NextRequestOfASlowCallerDoesNotCutItsAnswer) {
  RawCaller caller(this->fleet.EntryHttp(0));
  caller.Send("POST /read HTTP/1.1\r\nHost: x\r\nContent-Length: " +
              std::to_string(kLargeBodyBytes) + "\r\n\r\n" + std::string(kLargeBodyBytes, 'x'));
  caller.AwaitFirstByte();
  caller.Send("GET /read HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(this->processes.Signal(this->entry, SIGTERM));
  std::this_thread::sleep_for(seconds(2));
  const std::size_t first_part = caller.Read(kLargeBodyBytes - kTailBytes).size();
  std::this_thread::sleep_for(milliseconds(1500));
  const std::string received = caller.Read(2 * kTailBytes);
  EXPECT_GT(first_part + received.size(), kLargeBodyBytes);
  EXPECT_TRUE(received.ends_with("\"error\":\"draining\",\"outcome\":\"not-run\"}\n"));
  EXPECT_EQ(this->processes.WaitForEnd(this->entry, kExitTimeout).value(), 0);
}

}  // namespace
}  // namespace savory
