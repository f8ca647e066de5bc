#include "apps/experiment_costs.h"

#include <atomic>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <semaphore>
#include <thread>
#include <vector>

#include "apps/core_costs.h"
#include "base/digest.h"
#include "base/metrics.h"
#include "base/time.h"
#include "runtime/event_loop.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t kDigestBytes = 256u << 20;
constexpr int kMessages = 100'000;
// Below the queue length of the transport, so that no message is dropped.
constexpr int kMaxMessagesInFlight = 1000;
constexpr int kUpdatesPerPing = 12;
constexpr std::size_t kChunkBytes = 1u << 20;
constexpr int kChunks = 1000;
constexpr int kConnections = 64;
constexpr std::size_t kPageBytes = 4096;

// Resident memory of this process, in bytes.
std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * kPageBytes;
}

// A peer transport whose event loop runs on its own thread.
class Endpoint {
 public:
  explicit Endpoint(int port)
      : address("127.0.0.1:" + std::to_string(port)),
        transport(this->loop, this->metrics, {.listen = this->address, .vm = "vm"}) {}

  ~Endpoint() {
    this->loop.Stop();
    if (this->thread.joinable()) this->thread.join();
  }

  void Start() {
    this->thread = std::thread([this] { this->loop.Run(); });
  }

  EventLoop loop;
  Metrics metrics;
  std::string address;
  PeerTransport transport;

 private:
  std::thread thread;
};

wire::Envelope MakePing() {
  wire::Envelope message;
  for (int i = 0; i < kUpdatesPerPing; ++i) {
    wire::MemberUpdate* update = message.mutable_ping()->add_updates();
    update->set_vm("engine-region-01-1-" + std::to_string(i));
    update->set_peer("10.0.0." + std::to_string(i) + ":7100");
    update->set_region("region-01");
    update->set_data_centre("region-01-1");
    update->set_service("chat-model");
    update->set_incarnation(1'700'000'000'000'000);
    update->set_loaded_manifest(std::string(Digest::kSize, 'm'));
  }
  return message;
}

// Sends `count` messages in windows of bounded size and waits for each window to arrive. Returns
// the processor time of both sides, in seconds per message.
double CostPerMessage(Endpoint& from, Endpoint& to, int body_case, Lane lane, int count,
                      const std::function<void()>& send) {
  const int window = lane == Lane::kBulk ? kMaxMessagesInFlight / 100 : kMaxMessagesInFlight;
  // The waiting thread blocks, so that only the two event loops and ZeroMQ use processor time.
  std::binary_semaphore window_done(0);
  int received = 0;
  to.transport.Subscribe(body_case, [&](const auto&, auto) {
    if (++received % window == 0) window_done.release();
  });
  from.Start();
  to.Start();
  const double before = ProcessCpuSeconds();
  for (int sent = 0; sent < count; sent += window) {
    from.loop.Post([&send, window] {
      for (int i = 0; i < window; ++i) send();
    });
    window_done.acquire();
  }
  return (ProcessCpuSeconds() - before) / count;
}

double MeasureDigest() {
  const std::vector<std::byte> data(kDigestBytes, std::byte{7});
  const double before = ProcessCpuSeconds();
  const Digest digest = Sha256(std::span(data));
  const double spent = ProcessCpuSeconds() - before;
  return digest.IsZero() ? 0 : static_cast<double>(kDigestBytes) / spent;
}

void MeasurePing(ordered_json& result, int port) {
  Endpoint from(port);
  Endpoint to(port + 1);
  const wire::Envelope ping = MakePing();
  const double seconds =
      CostPerMessage(from, to, wire::Envelope::kPing, Lane::kControl, kMessages,
                     [&] { from.transport.Send(to.address, Lane::kControl, ping); });
  result["ping_bytes"] = ping.ByteSizeLong();
  result["ping_cpu_us_both_sides"] = seconds * 1e6;
}

void MeasureChunk(ordered_json& result, int port) {
  Endpoint from(port);
  Endpoint to(port + 1);
  const auto data = std::make_shared<const std::vector<std::byte>>(kChunkBytes);
  wire::Envelope head;
  head.mutable_chunk_data()->set_manifest(std::string(Digest::kSize, 'm'));
  const double seconds = CostPerMessage(
      from, to, wire::Envelope::kChunkData, Lane::kBulk, kChunks,
      [&] { from.transport.SendShared(to.address, Lane::kBulk, head, data, *data); });
  result["chunk_cpu_us_per_mib_both_sides"] = seconds * 1e6;
}

void MeasureConnections(ordered_json& result, int port) {
  Endpoint from(port);
  std::vector<std::unique_ptr<Endpoint>> peers;
  for (int i = 1; i <= kConnections; ++i) {
    peers.push_back(std::make_unique<Endpoint>(port + i));
    peers.back()->Start();
  }
  std::atomic<int> received = 0;
  for (auto& peer : peers) {
    peer->transport.Subscribe(wire::Envelope::kPing,
                              [&received](const auto&, auto) { received.fetch_add(1); });
  }
  const std::size_t before = ResidentBytes();
  from.Start();
  from.loop.Post([&] {
    for (auto& peer : peers) from.transport.Send(peer->address, Lane::kControl, MakePing());
  });
  while (received.load() < kConnections) std::this_thread::yield();
  result["connection_bytes_both_sides"] = (ResidentBytes() - before) / kConnections;
}

}  // namespace

int RunCostsExperiment(int argc, const char* const* argv) {
  namespace po = boost::program_options;
  int port = 0;
  po::options_description description("Options");
  description.add_options()("base-port", po::value(&port)->default_value(26000), "first port used")(
      "json", "accepted for consistency with other experiments; the output is always JSON")(
      "help", "print this help");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  ordered_json result;
  result["sha256_bytes_per_second"] = MeasureDigest();
  MeasurePing(result, port);
  MeasureChunk(result, port + 2);
  MeasureConnections(result, port + 4);
  result["cores"] = MeasureCoreCosts();
  std::cout << result.dump() << '\n';
  return 0;
}

}  // namespace savory
