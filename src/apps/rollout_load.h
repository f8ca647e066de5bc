// Requests through an entry while weights are rolled out.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace savory {

struct RolloutLoadCounts {
  std::uint64_t answered = 0;
  std::uint64_t not_answered = 0;
  std::uint64_t unknown_weights = 0;  // answers whose X-Weights is not a known version
};

// Threads that send requests one after another until Stop(). Thread-safe.
class RolloutLoad {
 public:
  // `entry` is IP:PORT towards callers.
  RolloutLoad(std::string entry, int threads);
  ~RolloutLoad();

  // Answers may name this manifest digest (64 hexadecimal digits) from now on.
  void AddVersion(const std::string& digest);
  RolloutLoadCounts Stop();

 private:
  void RunCaller();

  std::string entry;
  std::atomic<bool> stopping = false;
  std::mutex mutex;  // guards the fields below
  std::set<std::string> versions = {};
  RolloutLoadCounts counts = {};
  std::vector<std::thread> threads = {};
};

}  // namespace savory
