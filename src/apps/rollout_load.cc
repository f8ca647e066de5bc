#include "apps/rollout_load.h"

#include "runtime/http_client.h"

namespace savory {
namespace {

constexpr std::chrono::milliseconds kPauseBetweenRequests(50);

}  // namespace

RolloutLoad::RolloutLoad(std::string entry, int threads) : entry(std::move(entry)) {
  for (int i = 0; i < threads; ++i) this->threads.emplace_back([this] { this->RunCaller(); });
}

RolloutLoad::~RolloutLoad() { this->Stop(); }

void RolloutLoad::AddVersion(const std::string& digest) {
  const std::scoped_lock lock(this->mutex);
  this->versions.insert(digest);
}

RolloutLoadCounts RolloutLoad::Stop() {
  this->stopping.store(true);
  for (std::thread& thread : this->threads) thread.join();
  this->threads.clear();
  const std::scoped_lock lock(this->mutex);
  return this->counts;
}

void RolloutLoad::RunCaller() {
  HttpClient client(this->entry);
  while (!this->stopping.load()) {
    const auto answer = client.Call({.method = "POST",
                                     .target = "/v1/generate",
                                     .headers = {{"X-Account", "experiment"}},
                                     .body = R"({"prompt":"weights","parts":3,"part_ms":5})"});
    {
      const std::scoped_lock lock(this->mutex);
      const bool answered = answer && answer.value().status == 200;
      ++(answered ? this->counts.answered : this->counts.not_answered);
      if (answered) {
        const std::string used(HeaderValue(answer.value().headers, "X-Weights"));
        if (!this->versions.contains(used)) ++this->counts.unknown_weights;
      }
    }
    std::this_thread::sleep_for(kPauseBetweenRequests);
  }
}

}  // namespace savory
