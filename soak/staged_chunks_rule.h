// Which loads take staged chunks that an engine must not use.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace savory {

// A load takes the staged chunks as they are when it is accepted. One that turned bad less than
// `tolerance` before is excused. Missing chunks, and those of another version, never are.
class StagedChunksRule {
 public:
  explicit StagedChunksRule(Duration tolerance) : tolerance(tolerance) {}

  // `version`: whose chunk the staged bytes are; 0 if they are correct for none.
  void OnStaged(std::string_view upstream, std::uint32_t chunk, std::uint64_t version);
  void OnCorrupted(std::string_view upstream, std::uint32_t chunk, Instant now);
  // Another upstream takes over what is staged.
  void OnReplaced(std::string_view upstream, std::string_view next);
  void OnAllLost(std::string_view upstream);
  // A load of `version`, which has `chunks` chunks, is accepted. `complete`: all of them are
  // correct at that moment. Returns whether the loaded weights may be used.
  bool OnLoad(std::string_view upstream, std::uint64_t version, std::uint32_t chunks, bool complete,
              Instant now);

  // Describes what was bad about the last load of `version`, if its weights must not be used.
  std::optional<std::string> FindBadLoad(std::string_view upstream, std::uint64_t version) const;
  // Whether all chunks of `version` have been staged, corrupted since or not.
  bool HasStaged(std::string_view upstream, std::uint64_t version, std::uint32_t chunks) const;

 private:
  struct Chunk {
    std::uint64_t version = 0;
    std::optional<Instant> corrupt_since = {};
  };
  using Chunks = std::map<std::uint32_t, Chunk>;
  // By version.
  using BadLoads = std::map<std::uint64_t, std::string>;

  // Describes the chunk if it makes a load bad.
  std::optional<std::string> FindFault(const Chunks& staged, std::uint32_t number,
                                       std::uint64_t version, Instant now) const;

  Duration tolerance;
  std::map<std::string, Chunks, std::less<>> staged = {};
  std::map<std::string, BadLoads, std::less<>> bad_loads = {};
};

}  // namespace savory
