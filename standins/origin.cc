#include "standins/origin.h"

#include <atomic>
#include <mutex>
#include <thread>

#include "standins/origin_files.h"
#include "standins/rate_limiter.h"
#include "standins/standin_server.h"

namespace savory::standins {
namespace {

// Small enough that the connections share the rate evenly.
constexpr std::size_t kBlockBytes = 16u << 10;
constexpr int kStallMs = 60'000;

}  // namespace

struct Origin::Impl {
  explicit Impl(OriginOptions origin_options)
      : options(std::move(origin_options)), limiter(this->options.rate) {}

  void Mount(StandinServer& server) {
    server.Get("/weights/(.+)", [this](const auto& request, auto& response) {
      this->SendWeights(request, response);
    });
    server.Get("/manifests/([0-9a-f]{64})", [this](const auto& request, auto& response) {
      this->SendManifest(request, response);
    });
    server.Get("/stats",
               [this](const auto&, auto& response) { ReplyJson(response, this->Stats()); });
    server.Post("/admin/fault", [this](const auto& request, auto& response) {
      const nlohmann::json change = ParseJsonBody(request, response);
      if (!change.is_discarded()) this->SetFaults(change, response);
    });
  }

  void SendWeights(const httplib::Request& request, httplib::Response& response) {
    ++this->requests;
    const std::string name = request.matches[1];
    if (this->outage) return Refuse(response);
    const auto file = IsSafeName(name) ? OriginFile::Open(this->options.dir + "/weights/" + name)
                                       : std::shared_ptr<OriginFile>();
    if (!file) return ReplyJson(response, {{"error", "no such weights"}}, 404);
    response.set_header("ETag", file->ETag());
    const std::string if_match = request.get_header_value("If-Match");
    if (!if_match.empty() && if_match != file->ETag()) {
      return ReplyJson(response, {{"error", "the content has changed"}}, 412);
    }
    if (++this->active > this->options.max_connections && this->options.max_connections > 0) {
      --this->active;
      ++this->refused;
      response.set_header("Retry-After", std::to_string(this->options.retry_after_s));
      return ReplyJson(response, {{"error", "too many connections"}}, 429);
    }
    const TransferFault fault = this->TakeFault();
    response.set_content_provider(
        file->Size(), "application/octet-stream",
        [this, file, fault](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
          return this->SendRange(
              *file, fault, {.offset = offset, .length = length},
              [&sink](std::string_view block) { return sink.write(block.data(), block.size()); });
        },
        [this](bool) { --this->active; });
  }

  bool SendRange(const OriginFile& file, TransferFault fault, ByteRange range,
                 const ByteSink& write) {
    const auto [offset, length] = range;
    const std::size_t middle = offset + length / 2;
    const std::size_t end = offset + length;
    bool stalled = false;
    for (std::size_t at = offset; at < end;) {
      if (fault.stall && !stalled && at >= middle) {
        stalled = true;
        StandinServer::NeverAnswer(this->stall_ms);
        return false;
      }
      std::string block = file.Read(at, std::min(kBlockBytes, end - at));
      if (block.empty() || this->outage) return false;
      if (fault.corrupt && at <= middle && middle < at + block.size()) block[middle - at] ^= 0x01;
      this->WaitForRate(block.size());
      if (!write(block)) return false;
      this->bytes_sent += block.size();
      at += block.size();
    }
    return true;
  }

  void SendManifest(const httplib::Request& request, httplib::Response& response) {
    ++this->manifest_requests;
    if (this->outage) return Refuse(response);
    const std::string digest = request.matches[1];
    const auto file = OriginFile::Open(this->options.dir + "/manifests/" + digest);
    if (!file) return ReplyJson(response, {{"error", "no such manifest"}}, 404);
    this->manifest_bytes += file->Size();
    response.set_content(file->Read(0, file->Size()), "application/octet-stream");
  }

  void WaitForRate(std::size_t bytes) {
    Instant at;
    {
      const std::lock_guard lock(this->mutex);
      at = this->limiter.Reserve(bytes, MonotonicClock::now());
    }
    std::this_thread::sleep_until(at);
  }

  static void Refuse(httplib::Response& response) {
    ReplyJson(response, {{"error", "outage"}}, 503);
  }

  TransferFault TakeFault() {
    const std::lock_guard lock(this->mutex);
    TransferFault fault;
    if (this->corrupt_next > 0) {
      --this->corrupt_next;
      fault.corrupt = true;
    } else if (this->stall_next > 0) {
      --this->stall_next;
      fault.stall = true;
    }
    return fault;
  }

  void SetFaults(const nlohmann::json& change, httplib::Response& response) {
    const std::lock_guard lock(this->mutex);
    this->outage = change.value("outage", this->outage.load());
    this->corrupt_next = change.value("corrupt", this->corrupt_next);
    this->stall_next = change.value("stall", this->stall_next);
    this->stall_ms = change.value("stall_ms", this->stall_ms.load());
    const std::string replaced = change.value("replace", "");
    if (!replaced.empty() &&
        (!IsSafeName(replaced) || !ReplaceContent(this->options.dir + "/weights/" + replaced))) {
      return ReplyJson(response, {{"error", "cannot replace " + replaced}}, 404);
    }
    ReplyJson(response, {{"outage", this->outage.load()},
                         {"corrupt", this->corrupt_next},
                         {"stall", this->stall_next},
                         {"stall_ms", this->stall_ms.load()}});
  }

  nlohmann::json Stats() const {
    return {{"bytes_sent", this->bytes_sent.load()},
            {"requests", this->requests.load()},
            {"active", this->active.load()},
            {"refused", this->refused.load()},
            {"manifest_bytes", this->manifest_bytes.load()},
            {"manifest_requests", this->manifest_requests.load()}};
  }

  OriginOptions options;
  std::atomic<std::uint64_t> bytes_sent = 0;
  std::atomic<std::uint64_t> requests = 0;
  std::atomic<std::uint64_t> refused = 0;
  std::atomic<std::uint64_t> manifest_bytes = 0;
  std::atomic<std::uint64_t> manifest_requests = 0;
  std::atomic<int> active = 0;
  std::atomic<bool> outage = false;
  std::atomic<int> stall_ms = kStallMs;
  std::mutex mutex;  // guards the fields below
  RateLimiter limiter;
  int corrupt_next = 0;
  int stall_next = 0;
};

Origin::Origin(OriginOptions options) : impl(std::make_unique<Impl>(std::move(options))) {}
Origin::~Origin() = default;

void Origin::Mount(StandinServer& server) { this->impl->Mount(server); }

bool Origin::SendRange(const OriginFile& file, TransferFault fault, ByteRange range,
                       const ByteSink& write) {
  return this->impl->SendRange(file, fault, range, write);
}

nlohmann::json Origin::Stats() const { return this->impl->Stats(); }

}  // namespace savory::standins
