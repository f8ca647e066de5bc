// Messages between savoryrouter processes, over ZeroMQ.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

class EventLoop;
class Metrics;

// Each lane has a connection of its own to a peer, so that long messages, such as weight chunks, do
// not delay the others.
enum class Lane { kControl, kBulk };

struct PeerTransportOptions {
  std::string listen;             // IP:PORT of the ROUTER socket; also the sender address
  std::string bind = {};          // IP:PORT to bind instead of `listen`, when behind NAT
  std::string vm;                 // name of this VM, sent with every message
  std::uint64_t incarnation = 0;  // distinguishes starts of this process
  // A peer that sends a longer frame is disconnected before it is read.
  std::size_t max_frame_bytes = std::size_t{64} * 1024 * 1024;
};

// Messages and bytes transferred since the process started, to check a node's budget for control
// traffic. Sent bytes are counted by lane; only weight chunks count as received bulk.
struct TransportTotals {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t control_sent = 0;
  std::uint64_t control_received = 0;
  std::uint64_t bulk_sent = 0;
  std::uint64_t bulk_received = 0;
};

// Sends one-way messages, which can be lost but not duplicated. Use it on the loop's thread only.
class PeerTransport {
 public:
  // `payload` is only valid during the call.
  using Handler =
      std::function<void(const wire::Envelope& message, std::span<const std::byte> payload)>;
  using SharedBytes = std::shared_ptr<const std::vector<std::byte>>;

  // Binds the listening socket. Exits the process when the address is in use.
  PeerTransport(EventLoop& loop, Metrics& metrics, PeerTransportOptions options);
  ~PeerTransport();

  // Calls `handler` for every message whose body is `body_case`
  // (wire::Envelope::BodyCase).
  void Subscribe(int body_case, Handler handler);

  // Sends to `peer` (IP:PORT) after filling in the sender's fields. Never
  // blocks: a full queue drops the message, counts it, and returns false.
  bool Send(std::string_view peer, Lane lane, wire::Envelope message,
            std::span<const std::byte> payload = {});
  // As above; `payload` is kept alive until it is sent instead of being copied.
  bool SendShared(std::string_view peer, Lane lane, wire::Envelope message, SharedBytes payload,
                  std::span<const std::byte> part);

  // Closes all connections once the operating system has accepted the messages that wait on them,
  // or after `limit`. Blocks. Returns false if messages were discarded. Later messages are dropped.
  bool CloseWhenSent(Duration limit);

  const PeerTransportOptions& Options() const;
  TransportTotals Totals() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
