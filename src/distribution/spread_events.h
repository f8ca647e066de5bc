// Events and actions of ChunkSpreader. Peers are IP:PORT of peer sockets.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/digest.h"
#include "base/time.h"
#include "distribution/congestion_detector.h"
#include "distribution/origin_ranks.h"
#include "distribution/verified_chunk.h"

namespace savory {

class Manifest;

// ---- events ----

// The live agents of the pool, this one included.
struct PoolMembersChanged {
  std::vector<SpreadPeer> members;
};
// Start to copy `manifest`. ChunkStore::SetWanted() must have been called with it.
struct CopyWanted {
  std::shared_ptr<const Manifest> manifest;
  bool favour_origin_bytes = false;
  // Delay before the first origin read. A process that has just started does not know the members
  // yet and would rank itself first for every chunk.
  Duration origin_delay = {};
};
// No version is wanted until the next CopyWanted; a copy in progress is abandoned.
struct CopyEnded {};
struct MapReceived {
  std::string from;
  Digest manifest;
  std::string bits;
  bool reply_wanted = false;
};
struct HaveReceived {
  std::string from;
  Digest manifest;
  std::vector<std::uint32_t> chunks;
};
struct RequestReceived {
  std::string from;
  Digest manifest;
  std::uint32_t chunk = 0;
  std::uint64_t request_id = 0;
};
struct ChunkCancelReceived {
  std::string from;
  std::uint64_t request_id = 0;
};
// A peer's chunk whose bytes match their digest.
struct ChunkArrived {
  std::string from;
  VerifiedChunk chunk;
};
// A peer's chunk whose bytes do not match.
struct ChunkCorrupt {
  std::string from;
  Digest manifest;
  std::uint32_t chunk = 0;
};
struct RefusalReceived {
  std::string from;
  Digest manifest;
  std::uint32_t chunk = 0;
  std::uint64_t request_id = 0;
  bool busy = false;
};
struct HoldReceived {
  Duration hold;
};
struct OriginChunkRead {
  VerifiedChunk chunk;
};
// The origin's bytes do not match the manifest.
struct OriginMismatch {
  Digest manifest;
  std::uint32_t chunk = 0;
};
struct OriginThrottled {
  Digest manifest;
  std::uint32_t chunk = 0;
  Duration retry_after;
};
struct OriginFailed {
  Digest manifest;
  std::uint32_t chunk = 0;
};
// Result of ProbeOrigin: whether the origin's content has changed since the mismatch that stopped
// the copy.
struct OriginProbed {
  bool changed = false;
};
// Bytes of live requests on the VM's link.
struct RequestBytesSeen {
  std::uint64_t bytes = 0;
};
// The state of this agent's link changed. On a busy link chunks are transferred one at a time in
// each direction. On a narrow link no chunk is requested before `until`, requests of peers are
// refused, and chunks are fetched into the region only when none has appeared for the takeover
// time.
struct LinkStateChanged {
  Instant until = {};
  LinkState state = LinkState::kFree;
};
struct SpreadTick {};

using SpreadEvent =
    std::variant<PoolMembersChanged, CopyWanted, CopyEnded, MapReceived, HaveReceived,
                 RequestReceived, ChunkCancelReceived, ChunkArrived, ChunkCorrupt, RefusalReceived,
                 HoldReceived, OriginChunkRead, OriginMismatch, OriginThrottled, OriginFailed,
                 OriginProbed, RequestBytesSeen, LinkStateChanged, SpreadTick>;

// ---- actions ----

// Send this agent's chunk map of `manifest`.
struct SendMap {
  std::string to;
  Digest manifest;
  bool reply_wanted = false;
  bool empty = false;  // send an empty map, since this agent serves no chunks now
};
struct SendHave {
  std::string to;
  Digest manifest;
  std::vector<std::uint32_t> chunks;
};
struct SendRequest {
  std::string to;
  Digest manifest;
  std::uint32_t chunk = 0;
  std::uint64_t request_id = 0;
};
struct SendCancel {
  std::string to;
  Digest manifest;
  std::uint32_t chunk = 0;
  std::uint64_t request_id = 0;
};
struct SendChunk {
  std::string to;
  Digest manifest;
  std::uint32_t chunk = 0;
  std::uint64_t request_id = 0;
};
struct SendRefusal {
  std::string to;
  Digest manifest;
  std::uint32_t chunk = 0;
  std::uint64_t request_id = 0;
  bool busy = false;
};
struct SendHold {
  std::string to;
  Duration hold;
};
struct ReadOrigin {
  std::uint32_t chunk = 0;
};
// Find out whether the origin's content changed since the copy stopped.
struct ProbeOrigin {};
struct CopyStopped {
  std::uint32_t chunk = 0;  // the chunk that does not match
};
struct CopyResumed {};
struct CopyComplete {};
// On a narrow link: time from the request for a chunk to its arrival.
struct ChunkTransferTimed {
  Duration time = {};
};

using SpreadAction = std::variant<SendMap, SendHave, SendRequest, SendCancel, SendChunk,
                                  SendRefusal, SendHold, ReadOrigin, ProbeOrigin, CopyStopped,
                                  CopyResumed, CopyComplete, ChunkTransferTimed>;

}  // namespace savory
