// What an agent needs of the engine beside it and of the origin of weights.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/error.h"
#include "base/time.h"

namespace savory {

// State of the engine as it tells its own machine.
struct EngineState {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;            // 0: not told
  std::uint64_t weights_version = 0;  // held by all of its layers; 0: none
  bool busy = false;                  // a load order is in progress
  std::uint64_t accepted_loads = 0;   // accepted since its start
  std::int64_t born_unix_ms = 0;
  double pace = 1;
  std::uint64_t kv_used = 0;  // tokens
};

struct EngineLoadRequest {
  std::string model;
  std::uint64_t version = 0;
  std::uint64_t accepted_loads = 0;  // that the engine has accepted; with another number it refuses
  // Running requests are broken off; else the load begins when they have ended.
  bool interrupt = false;
};

enum class LoadRequestResult {
  kAccepted,
  kAlreadyLoaded,  // the engine holds the version already
  kRefused,        // the order does not fit the engine's state
  kUnknown,        // no answer: it may have been accepted
};

// Each call ends with exactly one call of its callback, on the loop's thread.
class EngineControl {
 public:
  virtual ~EngineControl() = default;
  // Errors: kUnavailable when the engine cannot be reached, kTimeout, kMalformed.
  virtual void ReadState(std::function<void(Result<EngineState>)> done) = 0;
  // Puts one piece of weights where the engine takes them from; replaces an earlier one.
  virtual void Stage(const std::string& model, std::uint32_t chunk, std::string bytes,
                     std::function<void(Result<void>)> done) = 0;
  // Numbers of the pieces that lie there.
  virtual void ListStaged(const std::string& model,
                          std::function<void(Result<std::vector<std::uint32_t>>)> done) = 0;
  // The piece as it lies there. Errors: kNotFound.
  virtual void ReadStaged(const std::string& model, std::uint32_t chunk,
                          std::function<void(Result<std::string>)> done) = 0;
  // Orders the engine to take the staged weights.
  virtual void RequestLoad(const EngineLoadRequest& request,
                           std::function<void(LoadRequestResult)> done) = 0;
};

// Pieces of one version of a model's weights.
struct ChunkList {
  std::uint32_t chunk_bytes = 0;
  std::vector<Digest> digests = {};
};

class WeightsSource {
 public:
  virtual ~WeightsSource() = default;
  virtual void SetAddress(const std::string& address) = 0;
  // Errors: kUnavailable, kTimeout, kNotFound (no such version any more), kMalformed.
  virtual void ReadChunkList(const std::string& model, std::uint64_t version,
                             std::function<void(Result<ChunkList>)> done) = 0;
  virtual void ReadChunk(const std::string& model, std::uint64_t version, std::uint32_t chunk,
                         std::function<void(Result<std::string>)> done) = 0;
};

}  // namespace savory
