// Load generator that sends requests through an entry while weights are rolled out.
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
  std::uint64_t unknown_weights =
      0;  // answers with an X-Weights header that is not an added version
};

// Runs threads that each send requests one after another until Stop(). Thread-safe.
class RolloutLoad {
 public:
  // `entry` is the IP:PORT on which the entry serves callers.
  RolloutLoad(std::string entry, int threads);
  ~RolloutLoad();

  // Adds a manifest digest (64 hexadecimal digits) that answers may name in X-Weights from now on.
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
