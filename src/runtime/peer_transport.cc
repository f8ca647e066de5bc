#include "runtime/peer_transport.h"

#include <cstdlib>
#include <map>
#include <zmq.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "base/time.h"
#include "runtime/event_loop.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

// A connection that has become permanently silent is closed and reopened: when sent bytes are not
// acknowledged for this long, or keep-alive probes on an idle one are not answered. The kernel does
// this without waking the process, unlike ZeroMQ's heartbeats.
constexpr int kUnacknowledgedTimeoutMs = 4000;
constexpr int kKeepAliveIdleS = 4;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 3;
constexpr int kReconnectMinMs = 50;
constexpr int kReconnectMaxMs = 2000;
constexpr int kMaxQueuedMessages = 4096;
// ZeroMQ frees the places of sent messages in batches of half the mark, so that up to half of it is
// taken by messages that have left.
constexpr int kSendHighWaterMark = 2 * kMaxQueuedMessages;
// Idle connections are closed, so that the number of sockets follows the number of peers in use.
constexpr Duration kIdleTimeout = std::chrono::seconds(120);
// Messages read by one Receive(). The event loop calls it again while the socket has input.
constexpr int kReadBatch = 256;

struct Connection {
  zmq::socket_t socket;
  Instant last_used;
};

void SetCommonOptions(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::tcp_keepalive, 1);
  socket.set(zmq::sockopt::tcp_keepalive_idle, kKeepAliveIdleS);
  socket.set(zmq::sockopt::tcp_keepalive_intvl, kKeepAliveIntervalS);
  socket.set(zmq::sockopt::tcp_keepalive_cnt, kKeepAliveProbes);
  socket.set(zmq::sockopt::tcp_maxrt, kUnacknowledgedTimeoutMs);
}

}  // namespace

struct PeerTransport::Impl {
  EventLoop& loop;
  PeerTransportOptions options;
  zmq::context_t context{1};
  zmq::socket_t router{context, zmq::socket_type::router};
  std::map<std::pair<std::string, Lane>, Connection> connections = {};
  std::map<int, std::vector<Handler>> handlers = {};
  TransportTotals totals = {};
  Metrics& metrics;
  std::map<std::pair<int, std::string_view>, Counter*> counters = {};  // by message and direction
  Counter& dropped;
  Counter& malformed;

  Impl(EventLoop& loop, Metrics& metrics, PeerTransportOptions given)
      : loop(loop),
        options(std::move(given)),
        metrics(metrics),
        dropped(metrics.CounterFor("savory_peer_messages_dropped_total")),
        malformed(metrics.CounterFor("savory_peer_messages_malformed_total")) {
    SetCommonOptions(this->router);
    this->router.set(zmq::sockopt::maxmsgsize,
                     static_cast<std::int64_t>(this->options.max_frame_bytes));
    this->router.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
    try {
      const bool translated = !this->options.bind.empty();
      this->router.bind("tcp://" + (translated ? this->options.bind : this->options.listen));
    } catch (const zmq::error_t& error) {
      Log(LogLevel::kError, "peer_bind_failed",
          {{"address", this->options.listen}, {"reason", error.what()}});
      std::exit(EXIT_FAILURE);
    }
  }

  // `direction`: a literal.
  Counter& CounterOf(int body_case, std::string_view direction) {
    Counter*& counter = this->counters[{body_case, direction}];
    if (counter != nullptr) return *counter;
    const auto* field = wire::Envelope::descriptor()->FindFieldByNumber(body_case);
    const std::string kind = field == nullptr ? "unknown" : field->name();
    counter = &this->metrics.CounterFor(
        "savory_peer_messages_total",
        "kind=\"" + kind + "\",direction=\"" + std::string(direction) + "\"");
    return *counter;
  }

  // Returns nullptr if `peer` is not an address. Throws zmq::error_t if the process has too many
  // sockets.
  zmq::socket_t* SocketFor(std::string_view peer, Lane lane) {
    const auto key = std::pair(std::string(peer), lane);
    auto found = this->connections.find(key);
    if (found == this->connections.end()) {
      if (!IsAddress(peer)) return nullptr;
      zmq::socket_t socket(this->context, zmq::socket_type::dealer);
      SetCommonOptions(socket);
      socket.set(zmq::sockopt::sndhwm, kSendHighWaterMark);
      socket.set(zmq::sockopt::reconnect_ivl, kReconnectMinMs);
      socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
      socket.connect("tcp://" + key.first);
      found = this->connections.emplace(key, Connection{std::move(socket), {}}).first;
    }
    found->second.last_used = this->loop.Now();
    return &found->second.socket;
  }

  void CloseIdle() {
    std::erase_if(this->connections, [this](const auto& row) {
      return this->loop.Now() - row.second.last_used > kIdleTimeout;
    });
  }

  bool SendFrames(std::string_view peer, Lane lane, wire::Envelope& message, zmq::message_t body) {
    try {
      return this->TrySendFrames(peer, lane, message, std::move(body));
    } catch (const zmq::error_t& error) {
      return this->Drop(peer, error.what());
    }
  }

  bool Drop(std::string_view peer, std::string_view reason) {
    this->dropped.Add();
    LogSampled("peer_send_failed", {{"peer", peer}, {"reason", reason}});
    return false;
  }

  bool TrySendFrames(std::string_view peer, Lane lane, wire::Envelope& message,
                     zmq::message_t body) {
    message.set_from_vm(this->options.vm);
    message.set_from_peer(this->options.listen);
    message.set_from_incarnation(this->options.incarnation);
    zmq::message_t head(message.ByteSizeLong());
    message.SerializeToArray(head.data(), static_cast<int>(head.size()));
    const std::size_t total = head.size() + body.size();
    zmq::socket_t* const socket = this->SocketFor(peer, lane);
    if (socket == nullptr) return this->Drop(peer, "not an IP:PORT address");
    const bool has_body = !body.empty();
    const auto flags = zmq::send_flags::dontwait;
    if (!socket->send(head, has_body ? flags | zmq::send_flags::sndmore : flags)) {
      this->dropped.Add();
      return false;
    }
    if (has_body) socket->send(body, flags);
    ++this->totals.messages_sent;
    this->CounterOf(message.body_case(), "sent").Add();
    (lane == Lane::kBulk ? this->totals.bulk_sent : this->totals.control_sent) += total;
    return true;
  }

  // Closing the context waits for the messages of the sockets, for up to their linger time.
  bool CloseWhenSent(Duration limit) {
    const Instant begin = this->loop.Now();
    for (auto& [key, connection] : this->connections) {
      connection.socket.set(zmq::sockopt::linger, static_cast<int>(ToMillis(limit)));
    }
    this->connections.clear();
    this->router.close();
    this->context.close();
    return this->loop.Now() - begin < limit;
  }

  void Receive() {
    for (int i = 0; i < kReadBatch; ++i) {
      zmq::message_t identity;
      if (!this->router.recv(identity, zmq::recv_flags::dontwait)) return;
      zmq::message_t head;
      zmq::message_t body;
      if (identity.more()) (void)this->router.recv(head);
      if (head.more()) (void)this->router.recv(body);
      for (bool more = body.more(); more;) {
        zmq::message_t rest;
        (void)this->router.recv(rest);
        more = rest.more();
      }
      this->Dispatch(head, body);
    }
  }

  void Dispatch(const zmq::message_t& head, const zmq::message_t& body) {
    wire::Envelope message;
    if (!message.ParseFromArray(head.data(), static_cast<int>(head.size()))) {
      this->malformed.Add();
      return;
    }
    const std::size_t total = head.size() + body.size();
    ++this->totals.messages_received;
    this->CounterOf(message.body_case(), "received").Add();
    const bool bulk = message.body_case() == wire::Envelope::kChunkData;
    (bulk ? this->totals.bulk_received : this->totals.control_received) += total;
    const auto found = this->handlers.find(message.body_case());
    if (found == this->handlers.end()) return;
    const std::span payload(static_cast<const std::byte*>(body.data()), body.size());
    for (const Handler& handler : found->second) handler(message, payload);
  }
};

PeerTransport::PeerTransport(EventLoop& loop, Metrics& metrics, PeerTransportOptions options)
    : impl(std::make_unique<Impl>(loop, metrics, std::move(options))) {
  loop.Watch(this->impl->router.handle(), [this] { this->impl->Receive(); });
  loop.Every(kIdleTimeout / 4, [this] { this->impl->CloseIdle(); });
}

PeerTransport::~PeerTransport() = default;

void PeerTransport::Subscribe(int body_case, Handler handler) {
  this->impl->handlers[body_case].push_back(std::move(handler));
}

bool PeerTransport::Send(std::string_view peer, Lane lane, wire::Envelope message,
                         std::span<const std::byte> payload) {
  return this->impl->SendFrames(peer, lane, message,
                                zmq::message_t(payload.data(), payload.size()));
}

bool PeerTransport::SendShared(std::string_view peer, Lane lane, wire::Envelope message,
                               SharedBytes payload, std::span<const std::byte> part) {
  auto* owner = new SharedBytes(std::move(payload));
  const auto release = [](void*, void* hint) { delete static_cast<SharedBytes*>(hint); };
  // ZeroMQ takes a non-const pointer but does not write through it.
  zmq::message_t body(const_cast<std::byte*>(part.data()), part.size(), release, owner);
  return this->impl->SendFrames(peer, lane, message, std::move(body));
}

bool PeerTransport::CloseWhenSent(Duration limit) { return this->impl->CloseWhenSent(limit); }

const PeerTransportOptions& PeerTransport::Options() const { return this->impl->options; }

TransportTotals PeerTransport::Totals() const { return this->impl->totals; }

}  // namespace savory
