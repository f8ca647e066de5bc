// A load request that the engine reads late, on real processes of the product.
#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <functional>
#include <sstream>
#include <string>
#include <thread>

#include "apps/fleet.h"
#include "apps/process_group.h"
#include "runtime/http_client.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kBasePort = 12'700;
constexpr std::uint64_t kWeightsBytes = std::uint64_t{256} * 1024;
constexpr int kLateMs = 6'000;  // the agent gives a load request up after 3 s
constexpr int kCallers = 4;
constexpr Duration kStepTimeout = seconds(40);
constexpr Duration kPollPeriod = milliseconds(20);

class LateLoadTest : public ::testing::Test {
 protected:
  static FleetOptions MakeOptions() {
    return {.bin_directory = std::filesystem::read_symlink("/proc/self/exe").parent_path(),
            .base_port = kBasePort,
            .entries = {{}},
            .agents = {{.service = "chat",
                        .upstream_arguments = {"--check-fence", "0", "--load-ms", "1500"}}}};
  }

  void SetUp() override {
    const auto started = this->fleet.Start();
    ASSERT_TRUE(started) << started.error().detail;
    this->first = this->AddWeights("one", 1);
    this->second = this->AddWeights("two", 2);
    this->Pin(this->first, "one");
    ASSERT_TRUE(this->Await([this] { return this->IsReadyWith(this->first); }));
  }

  Digest AddWeights(const std::string& name, std::uint64_t seed) {
    const auto digest = this->fleet.AddRandomWeights(name, kWeightsBytes, seed, 64 * 1024);
    EXPECT_TRUE(digest);
    return digest ? digest.value() : Digest{};
  }

  void Pin(const Digest& manifest, const std::string& version) {
    const std::string text =
        "routes:\n"
        "  - {name: chat, match: {path_prefix: /v1/generate, method: POST}, pool: chat,\n"
        "     class: chat, priority: 10, idempotent: true, deadline_ms: 20000,\n"
        "     limits: [{account: \"*\", rate_per_s: 1000, concurrency: 200, share: 0.1}]}\n"
        "pools:\n"
        "  - {name: chat, members: {service: chat}, model: chat, version: " +
        version + ", manifest: " + manifest.Hex() + ", max_loading: 1}\n";
    const std::string file =
        this->fleet.WriteFile("tables-" + std::to_string(++this->edits) + ".yaml", text);
    const auto applied = this->fleet.Ctl({"apply", file, "--author", "test"}, seconds(10));
    ASSERT_TRUE(applied) << applied.error().detail;
  }

  bool Await(const std::function<bool()>& condition) const {
    const Instant limit = MonotonicClock::now() + kStepTimeout;
    while (!condition()) {
      if (MonotonicClock::now() > limit) return false;
      std::this_thread::sleep_for(kPollPeriod);
    }
    return true;
  }

  const FleetNode& Agent() const { return this->fleet.Agents().front(); }

  nlohmann::json EngineState() const {
    const auto state = this->fleet.Get(this->Agent().upstream, "/v1/state");
    return state ? state.value() : nlohmann::json::object();
  }

  bool IsReadyWith(const Digest& manifest) const {
    const auto status = this->fleet.Status(this->Agent());
    return status && status.value().dump().find("\"ready\"") != std::string::npos &&
           this->EngineState().value("loaded", "") == manifest.Hex();
  }

  bool WasOrdered(const Digest& manifest) const {
    std::istringstream log(this->processes.ReadLog(this->Agent().vm));
    const std::string hex = manifest.Hex();
    for (std::string line; std::getline(log, line);) {
      const bool order = line.find("load_ordered") != std::string::npos;
      if (order && line.find(hex) != std::string::npos) return true;
    }
    return false;
  }

  // Sends requests until `stop`; each runs for about a third of a second at the engine.
  void SendRequests() {
    HttpClient client(this->fleet.Entries().front().http);
    while (!this->stop) {
      const auto answer = client.Call({.method = "POST",
                                       .target = "/v1/generate",
                                       .body = R"({"prompt": "x", "parts": 8, "part_ms": 40})",
                                       .content_type = "application/json"});
      if (answer && answer.value().status == 200) ++this->answered;
      if (!answer || answer.value().status != 200) std::this_thread::sleep_for(kPollPeriod);
    }
  }

  ProcessGroup processes;
  Fleet fleet{this->processes, MakeOptions()};
  Digest first = {};
  Digest second = {};
  int edits = 0;
  std::atomic<bool> stop = false;
  std::atomic<int> answered = 0;
};

// Guards against answers made while the engine overwrites its weights, because it carries out a
// load request that the agent had given up, after the version was taken back.
TEST_F(LateLoadTest, RequestReadLateFindsTheGateClosed) {
  std::vector<std::jthread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) callers.emplace_back([this] { this->SendRequests(); });
  EXPECT_TRUE(this->Await([this] { return this->answered > 0; }));
  const nlohmann::json fault = {{"late_loads", 1}, {"late_load_ms", kLateMs}};
  EXPECT_TRUE(this->fleet.Post(this->Agent().upstream, "/admin/fault", fault));
  this->Pin(this->second, "two");
  EXPECT_TRUE(this->Await([this] { return this->WasOrdered(this->second); }));
  this->Pin(this->first, "one");
  EXPECT_TRUE(this->Await(
      [this] { return this->EngineState().value("loading", "") == this->second.Hex(); }));
  const int before = this->answered;
  EXPECT_TRUE(this->Await([this] { return this->IsReadyWith(this->first); }));
  EXPECT_TRUE(this->Await([this, before] { return this->answered > before; }));
  this->stop = true;
  callers.clear();
  const auto stats = this->fleet.UpstreamStats(this->Agent());
  ASSERT_TRUE(stats);
  EXPECT_EQ(stats.value().value("bad_serves", -1), 0);
}

}  // namespace
}  // namespace savory
