#include "standins/engine_memory.h"

#include <algorithm>
#include <set>

namespace savory::standins {

OrderDecision EngineMemory::Accept(const EngineOrder& order, std::uint64_t& load) {
  const bool stale = order.fence < this->highest_fence;
  if (stale && this->check_fence) {
    ++this->stale_rejected;
    return OrderDecision::kStaleFence;
  }
  if (stale) ++this->stale_accepted;
  this->highest_fence = std::max(this->highest_fence, order.fence);
  const bool already_loaded = this->loads.empty() && this->loaded == order.manifest;
  if (already_loaded || this->Loading() == order.manifest) return OrderDecision::kNothingToDo;
  if (this->check_fence) this->loads.clear();
  load = ++this->last_load;
  this->loads[load] = Load{.manifest = order.manifest};
  return OrderDecision::kStart;
}

bool EngineMemory::Write(std::uint64_t load, std::size_t layer) {
  const auto found = this->loads.find(load);
  if (found == this->loads.end()) return false;
  Load& running = found->second;
  if (layer <= running.written) return true;
  this->loaded.clear();
  ++this->generation;
  for (; running.written < std::min(layer, kLayers); ++running.written) {
    this->layers[running.written] = running.manifest;
  }
  return true;
}

void EngineMemory::Finish(std::uint64_t load, bool verified) {
  const auto found = this->loads.find(load);
  if (found == this->loads.end()) return;
  if (verified && found->second.written == kLayers) {
    this->loaded = found->second.manifest;
  }
  this->loads.erase(found);
}

std::string EngineMemory::Loading() const {
  return this->loads.empty() ? "" : this->loads.rbegin()->second.manifest;
}

std::string EngineMemory::WeightsInUse() const {
  if (this->generation == 0) return "";
  const std::set<std::string> versions(this->layers.begin(), this->layers.end());
  if (versions.contains("")) return "partial";
  if (versions.size() > 1) return "mixed";
  return this->loaded == this->layers.front() ? this->loaded : "partial";
}

}  // namespace savory::standins
