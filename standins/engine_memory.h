// Weight memory of the engine stand-in; shows which weights an answer was really generated with.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace savory::standins {

// Answer to an order to load weights.
enum class OrderDecision {
  kStart,
  kNothingToDo,  // the same weights are loaded or being loaded
  kStaleFence,
};

// A load order as the engine received it.
struct EngineOrder {
  std::string manifest;  // hexadecimal digest
  std::uint64_t fence = 0;
};

// The memory consists of layers that each load overwrites in order and in place. In an engine that
// ignores fencing numbers, two loads can overwrite each other: the memory then mixes versions while
// the engine reports the load that finished last. WeightsInUse() returns what the memory really
// holds. Not thread-safe.
class EngineMemory {
 public:
  static constexpr std::size_t kLayers = 16;

  explicit EngineMemory(bool check_fence) : check_fence(check_fence) {}

  // Registers an order. When it returns kStart, `load` is the number of the load for Write() and
  // Finish().
  OrderDecision Accept(const EngineOrder& order, std::uint64_t& load);
  // Writes the layers of a load up to `layer` (exclusive). Returns false when a newer order
  // replaced the load.
  bool Write(std::uint64_t load, std::size_t layer);
  // Ends a load. `verified`: the received bytes had the digest of the manifest.
  void Finish(std::uint64_t load, bool verified);

  // What the engine reports: the manifest of the last verified load, or "".
  const std::string& Loaded() const { return this->loaded; }
  // Manifest of the newest load in progress, or "".
  std::string Loading() const;
  std::uint64_t Fence() const { return this->highest_fence; }

  // The manifest whose verified bytes fill all layers; "partial" or "mixed" otherwise; "" when
  // nothing was ever written.
  std::string WeightsInUse() const;
  // Changes with every write; an answer during which it changes was generated with mixed weights.
  std::uint64_t Generation() const { return this->generation; }

  // Orders with an old fencing number that were accepted.
  std::uint64_t StaleAccepted() const { return this->stale_accepted; }
  std::uint64_t StaleRejected() const { return this->stale_rejected; }

 private:
  struct Load {
    std::string manifest;
    std::size_t written = 0;
  };

  bool check_fence;
  std::array<std::string, kLayers> layers = {};  // manifest of each; empty: never written
  std::map<std::uint64_t, Load> loads;
  std::uint64_t last_load = 0;
  std::string loaded;
  std::uint64_t highest_fence = 0;
  std::uint64_t generation = 0;
  std::uint64_t stale_accepted = 0;
  std::uint64_t stale_rejected = 0;
};

}  // namespace savory::standins
