// Interfaces to the engine on the agent's VM and to the origin of weights.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/error.h"
#include "base/time.h"

namespace savory {

// State of the engine as reported by itself.
struct EngineState {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;            // 0: not reported
  std::uint64_t weights_version = 0;  // loaded in all layers; 0: none
  bool busy = false;                  // a load is in progress
  std::uint64_t accepted_loads = 0;   // number of loads accepted since it started
  std::int64_t started_unix_ms = 0;
  double pace = 1;            // above 1: slower than its published rates
  std::uint64_t kv_used = 0;  // tokens
};

struct EngineLoadRequest {
  std::string model;
  std::uint64_t version = 0;
  std::uint64_t accepted_loads = 0;  // must equal the engine's count, else it refuses
  // Interrupts running requests; otherwise the load begins when they have ended.
  bool interrupt = false;
};

enum class LoadRequestResult {
  kAccepted,
  kAlreadyLoaded,
  kRefused,  // the request does not match the engine's state
  kUnknown,  // no response; the engine may have accepted
};

// When a call to the engine was sent and when its answer, or the lack of one, was handled.
struct CallTimes {
  Instant sent = {};
  Instant answered = {};
};

enum class StageResult {
  kStored,
  kNotStored,
  kNoCopy,   // this process does not hold the chunk any more
  kUnknown,  // no response; the engine may still store the chunk
};

// What a staged chunk turned out to be when it was read back.
enum class ReadBackResult {
  kIntact,
  kCorrupt,  // missing or with other bytes
  kUnread,   // no usable response
};

// Each call invokes its callback exactly once, on the event loop's thread.
class EngineControl {
 public:
  virtual ~EngineControl() = default;
  // Errors: kUnavailable when the engine cannot be reached, kTimeout, kNotFound when it answers
  // without a report, kMalformed when its report can't be read or is far too long.
  virtual void ReadState(std::function<void(Result<EngineState>)> done) = 0;
  // Stores a chunk in the engine's staging area; replaces an earlier one with the same number.
  virtual void Stage(const std::string& model, std::uint32_t chunk, std::string bytes,
                     std::function<void(Result<void>)> done) = 0;
  // Numbers of the staged chunks.
  virtual void ListStaged(const std::string& model,
                          std::function<void(Result<std::vector<std::uint32_t>>)> done) = 0;
  // Reads a staged chunk of at most `max_bytes` back. Errors: kNotFound; kMalformed: it is larger.
  virtual void ReadStaged(const std::string& model, std::uint32_t chunk, std::size_t max_bytes,
                          std::function<void(Result<std::string>)> done) = 0;
  // Asks the engine to load the staged weights.
  virtual void RequestLoad(const EngineLoadRequest& request,
                           std::function<void(LoadRequestResult)> done) = 0;
  // Asks the engine to give up its weights of `request.version`, so that it can load them again.
  // Running requests are interrupted if `request.interrupt`.
  virtual void RequestUnload(const EngineLoadRequest& request,
                             std::function<void(LoadRequestResult)> done) = 0;
  // `listener` is called when the engine sent bytes that answer no call: if it repeated an answer,
  // recent calls may have got the answers of others.
  virtual void OnUnmatchedAnswer(std::function<void()> listener) = 0;
};

// Larger chunks are refused: an agent keeps the chunks of two versions, and transfers them whole.
constexpr std::size_t kMaxChunkBytes = std::size_t{64} * 1024 * 1024;

// Chunk size and digests of one version of a model's weights.
struct ChunkList {
  std::uint64_t version = 0;
  std::uint32_t chunk_bytes = 0;
  std::vector<Digest> digests = {};
};

class WeightsSource {
 public:
  virtual ~WeightsSource() = default;
  virtual void SetAddress(const std::string& address) = 0;
  // `version`: 0 for the newest one that was announced. Errors: kUnavailable, kTimeout, kNotFound
  // (the version no longer exists), kMalformed.
  virtual void ReadChunkList(const std::string& model, std::uint64_t version,
                             std::function<void(Result<ChunkList>)> done) = 0;
  // Errors: as above; kMalformed also for a chunk of more than `max_bytes`.
  virtual void ReadChunk(const std::string& model, std::uint64_t version, std::uint32_t chunk,
                         std::size_t max_bytes, std::function<void(Result<std::string>)> done) = 0;
};

}  // namespace savory
