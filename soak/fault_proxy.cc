#include "soak/fault_proxy.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <set>
#include <utility>

#include "base/digest.h"
#include "runtime/event_loop.h"
#include "runtime/tcp_connection.h"
#include "runtime/tcp_listener.h"

namespace savory {
namespace {

// Far above the usual response time, and below the timeout after which a connection is dropped.
constexpr Duration kDelay = std::chrono::milliseconds(250);
// The proxy itself must not time out a connection.
constexpr TcpOptions kTcp = {.user_timeout = std::chrono::seconds(600)};

}  // namespace

struct FaultProxy::Impl : std::enable_shared_from_this<FaultProxy::Impl> {
  struct ConnectionPair;
  // One end of a connection through the proxy.
  struct Side : TcpHandler {
    Impl* proxy = nullptr;
    ConnectionPair* pair = nullptr;
    bool towards_target = false;  // bytes from this side go to the target
    bool ended = false;
    std::unique_ptr<TcpConnection> connection = {};
    // What is delayed. Later bytes wait behind it also once the link is healthy.
    std::deque<std::function<void()>> delayed = {};
    std::string held = {};
    bool end_held = false;

    void Delay(std::function<void()> step);
    void PassEnd(TcpEnd end);
    void OnBytes(std::span<const std::byte> bytes) override;
    void OnEnd(TcpEnd end) override;
  };
  // The connections of the client and to the target.
  struct ConnectionPair : std::enable_shared_from_this<ConnectionPair> {
    Side client;
    Side target;
    bool discarding = false;  // bytes were lost, so all further ones are discarded too
  };

  EventLoop& loop;
  std::string listen;
  std::string target;
  TcpListener listener;
  LinkCondition condition = LinkCondition::kHealthy;
  bool holding = false;
  std::set<std::shared_ptr<ConnectionPair>> pairs = {};

  Impl(EventLoop& loop, std::string listen, std::string target)
      : loop(loop), listen(std::move(listen)), target(std::move(target)), listener(loop) {}

  void Accept(uv_stream_s* server) {
    const auto pair = std::make_shared<ConnectionPair>();
    pair->client.towards_target = true;
    for (Side* side : {&pair->client, &pair->target}) {
      side->proxy = this;
      side->pair = pair.get();
    }
    pair->client.connection =
        std::make_unique<TcpConnection>(this->loop, server, pair->client, kTcp);
    pair->target.connection =
        std::make_unique<TcpConnection>(this->loop, this->target, pair->target, kTcp);
    this->pairs.insert(pair);
  }

  void Drop(ConnectionPair& pair) {
    const auto keep = pair.shared_from_this();
    this->pairs.erase(keep);
    // Destruction is deferred: this runs inside a callback of one of the connections.
    this->loop.Post([keep] {});
  }
};

void FaultProxy::Impl::Side::OnBytes(std::span<const std::byte> bytes) {
  if (this->proxy->holding && this->towards_target) {
    this->held += AsText(bytes);
    return;
  }
  Side& other = this->towards_target ? this->pair->target : this->pair->client;
  const LinkCondition condition = this->proxy->condition;
  const bool discarded = this->pair->discarding || condition == LinkCondition::kSilent ||
                         (condition == LinkCondition::kOneWay && !this->towards_target);
  if (discarded) {
    this->pair->discarding = true;
    return;
  }
  const std::string_view text = AsText(bytes);
  if (condition != LinkCondition::kDelayed && this->delayed.empty()) {
    other.connection->Write({&text, 1});
    return;
  }
  this->Delay([&other, buffered = std::string(text)] {
    const std::string_view bytes = buffered;
    other.connection->Write({&bytes, 1});
  });
}

void FaultProxy::Impl::Side::Delay(std::function<void()> step) {
  this->delayed.push_back(std::move(step));
  this->proxy->loop.After(kDelay, [weak = this->pair->weak_from_this(), this] {
    const auto pair = weak.lock();
    if (!pair) return;
    const auto first = std::move(this->delayed.front());
    this->delayed.pop_front();
    first();
  });
}

void FaultProxy::Impl::Side::OnEnd(TcpEnd end) {
  if (this->proxy->holding && this->towards_target && end == TcpEnd::kClosed) {
    this->end_held = true;
    return;
  }
  if (end != TcpEnd::kClosed || this->delayed.empty()) return this->PassEnd(end);
  this->Delay([this, end] { this->PassEnd(end); });
}

void FaultProxy::Impl::Side::PassEnd(TcpEnd end) {
  Side& other = this->towards_target ? this->pair->target : this->pair->client;
  this->ended = true;
  // The client of a silent connection is not told that the target has closed it.
  if (this->pair->discarding) {
    if (this->towards_target) this->proxy->Drop(*this->pair);
    return;
  }
  if (end != TcpEnd::kClosed) other.connection->Reset();
  if (end != TcpEnd::kClosed || other.ended) return this->proxy->Drop(*this->pair);
  other.connection->CloseWhenSent();
}

FaultProxy::FaultProxy(EventLoop& loop, std::string listen, std::string target)
    : impl(std::make_shared<Impl>(loop, std::move(listen), std::move(target))) {}
FaultProxy::~FaultProxy() = default;

Result<void> FaultProxy::Listen() {
  return this->impl->listener.Listen(
      this->impl->listen, [self = this->impl.get()](uv_stream_s* server) { self->Accept(server); });
}

void FaultProxy::SetCondition(LinkCondition condition) { this->impl->condition = condition; }

void FaultProxy::Hold() { this->impl->holding = true; }

void FaultProxy::Release() {
  this->impl->holding = false;
  const auto pairs = this->impl->pairs;
  for (const auto& pair : pairs) {
    const std::string held = std::exchange(pair->client.held, {});
    if (!held.empty()) pair->client.OnBytes(std::as_bytes(std::span(held)));
    if (std::exchange(pair->client.end_held, false)) pair->client.OnEnd(TcpEnd::kClosed);
  }
}

void FaultProxy::SilenceOpen() {
  for (const auto& pair : this->impl->pairs) pair->discarding = true;
}

void FaultProxy::ResetAll() {
  const auto pairs = std::move(this->impl->pairs);
  this->impl->pairs.clear();
  for (const auto& pair : pairs) {
    for (auto* side : {&pair->client, &pair->target}) {
      side->connection->Reset();
    }
  }
  this->impl->loop.Post([pairs] {});
}

}  // namespace savory
