// Messages of a ChunkSpreader to and from its peers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "distribution/spread_events.h"
#include "distribution/verified_chunk.h"

namespace savory {

class ChunkStore;
class Manifest;
class Metrics;
class PeerTransport;

// Compares bytes with the digest of a chunk, on this thread or another one, and calls `done` on the
// loop's thread with the chunk, or nullopt when they do not match.
using ChunkVerifier =
    std::function<void(std::shared_ptr<const Manifest> manifest, std::uint32_t chunk,
                       SharedChunk bytes, std::function<void(std::optional<VerifiedChunk>)> done)>;

// Verifies on the calling thread.
ChunkVerifier VerifyOnCallingThread();

// All calls on the loop's thread.
class SpreadLink {
 public:
  // The references must outlive the link.
  SpreadLink(PeerTransport& peers, Metrics& metrics, ChunkStore& store, ChunkVerifier verify);
  ~SpreadLink();

  // Passes messages of peers on as events of the spreader.
  void Start(std::function<void(const SpreadEvent& event)> on_event);

  // `origin` names the origin in a hold that is passed on.
  void SetOrigin(const std::string& origin);

  // Probes of the own link; `on_answer` is called with the number of each that came back.
  void OnProbeAnswer(std::function<void(std::uint64_t number)> on_answer);
  void Probe(const std::string& peer, std::uint64_t number);

  void Send(const SendMap& action);
  void Send(const SendHave& action);
  void Send(const SendRequest& action);
  void Send(const SendCancel& action);
  void Send(const SendChunk& action);
  void Send(const SendRefusal& action);
  void Send(const SendHold& action);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
