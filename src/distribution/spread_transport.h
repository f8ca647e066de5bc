// Sends and receives the messages between a ChunkSpreader and its peers.
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

// Compares bytes with the digest of a chunk, on any thread, and calls `done` on the event loop's
// thread with the chunk, or with nullopt if they do not match.
using ChunkVerifier =
    std::function<void(std::shared_ptr<const Manifest> manifest, std::uint32_t chunk,
                       SharedChunk bytes, std::function<void(std::optional<VerifiedChunk>)> done)>;

ChunkVerifier VerifyOnCallingThread();

// All methods must be called on the event loop's thread.
class SpreadTransport {
 public:
  // The references must outlive the object.
  SpreadTransport(PeerTransport& peers, Metrics& metrics, ChunkStore& store, ChunkVerifier verify);
  ~SpreadTransport();

  // From now on, messages of peers are passed to `on_event` as events of the spreader.
  void Start(std::function<void(const SpreadEvent& event)> on_event);

  // Sets the origin that is named in sent holds; received holds for another origin are ignored.
  void SetOrigin(const std::string& origin);

  // `on_answer` is called with the number of each probe that a peer has answered.
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
