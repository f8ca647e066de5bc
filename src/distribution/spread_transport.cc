#include "distribution/spread_transport.h"

#include "base/metrics.h"
#include "distribution/chunk_store.h"
#include "distribution/manifest.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

ChunkVerifier VerifyOnCallingThread() {
  return [](const std::shared_ptr<const Manifest>& manifest, std::uint32_t chunk, SharedChunk bytes,
            const std::function<void(std::optional<VerifiedChunk>)>& done) {
    done(VerifiedChunk::Verify(*manifest, chunk, std::move(bytes)));
  };
}

struct SpreadTransport::Impl : std::enable_shared_from_this<SpreadTransport::Impl> {
  PeerTransport& transport;
  ChunkStore& store;
  ChunkVerifier verify;
  std::string origin = {};
  std::function<void(const SpreadEvent& event)> on_event = {};
  std::function<void(std::uint64_t number)> on_probe_answer = {};
  Counter& corrupt;
  Counter& sent;
  Counter& received;
  Counter& refused;
  Counter& cancelled;

  Impl(PeerTransport& transport, Metrics& metrics, ChunkStore& store, ChunkVerifier verify)
      : transport(transport),
        store(store),
        verify(std::move(verify)),
        corrupt(metrics.CounterFor("savory_chunks_corrupt_total")),
        sent(metrics.CounterFor("savory_chunks_sent_total")),
        received(metrics.CounterFor("savory_chunks_received_total")),
        refused(metrics.CounterFor("savory_chunk_requests_refused_total")),
        cancelled(metrics.CounterFor("savory_chunk_requests_cancelled_total")) {}

  void SendControl(const std::string& to, wire::Envelope message) {
    this->transport.Send(to, Lane::kControl, std::move(message));
  }

  void On(int body, PeerTransport::Handler handler) {
    this->transport.Subscribe(
        body, [weak = this->weak_from_this(), handler = std::move(handler)](
                  const wire::Envelope& message, std::span<const std::byte> payload) {
          if (!weak.expired()) handler(message, payload);
        });
  }

  void SubscribeMaps() {
    this->On(wire::Envelope::kChunkMap, [this](const auto& message, auto) {
      const wire::ChunkMap& map = message.chunk_map();
      this->on_event(MapReceived{.from = message.from_peer(),
                                 .manifest = DigestFromRaw(map.manifest()),
                                 .bits = map.bits(),
                                 .reply_wanted = map.reply_wanted()});
    });
    this->On(wire::Envelope::kChunkHave, [this](const auto& message, auto) {
      const wire::ChunkHave& have = message.chunk_have();
      this->on_event(HaveReceived{.from = message.from_peer(),
                                  .manifest = DigestFromRaw(have.manifest()),
                                  .chunks = {have.chunks().begin(), have.chunks().end()}});
    });
    this->On(wire::Envelope::kOriginHold, [this](const auto& message, auto) {
      const wire::OriginHold& hold = message.origin_hold();
      if (hold.origin() != this->origin) return;
      this->on_event(HoldReceived{.hold = std::chrono::milliseconds{hold.hold_ms()}});
    });
  }

  void SubscribeChunks() {
    this->On(wire::Envelope::kChunkRequest, [this](const auto& message, auto) {
      const wire::ChunkRequest& request = message.chunk_request();
      this->on_event(RequestReceived{.from = message.from_peer(),
                                     .manifest = DigestFromRaw(request.manifest()),
                                     .chunk = request.chunk(),
                                     .request_id = request.request_id()});
    });
    this->On(wire::Envelope::kChunkCancel, [this](const auto& message, auto) {
      this->on_event(ChunkCancelReceived{.from = message.from_peer(),
                                         .request_id = message.chunk_cancel().request_id()});
    });
    this->On(wire::Envelope::kChunkRefusal, [this](const auto& message, auto) {
      const wire::ChunkRefusal& refusal = message.chunk_refusal();
      this->on_event(RefusalReceived{.from = message.from_peer(),
                                     .manifest = DigestFromRaw(refusal.manifest()),
                                     .chunk = refusal.chunk(),
                                     .request_id = refusal.request_id(),
                                     .busy = refusal.busy()});
    });
    this->On(wire::Envelope::kChunkData,
             [this](const auto& message, auto payload) { this->OnChunkData(message, payload); });
  }

  void SubscribeProbes() {
    this->On(wire::Envelope::kLinkProbe, [this](const auto& message, auto) {
      const wire::LinkProbe& probe = message.link_probe();
      if (!probe.answer()) return this->SendProbe(message.from_peer(), probe.number(), true);
      if (this->on_probe_answer) this->on_probe_answer(probe.number());
    });
  }

  void SendProbe(const std::string& to, std::uint64_t number, bool answer) {
    wire::Envelope message;
    message.mutable_link_probe()->set_number(number);
    message.mutable_link_probe()->set_answer(answer);
    this->SendControl(to, std::move(message));
  }

  // Copies the payload once, into the buffer that the store keeps.
  void OnChunkData(const wire::Envelope& message, std::span<const std::byte> payload) {
    const wire::ChunkData& data = message.chunk_data();
    const Digest id = DigestFromRaw(data.manifest());
    const WeightsCopy* copy = this->store.Find(id);
    if (copy == nullptr || copy->Holds(data.chunk())) return;
    this->received.Add();
    auto bytes = std::make_shared<const std::vector<std::byte>>(payload.begin(), payload.end());
    const auto done = [weak = this->weak_from_this(), id, index = data.chunk(),
                       from = message.from_peer()](std::optional<VerifiedChunk> chunk) {
      const auto self = weak.lock();
      if (!self) return;
      if (chunk) {
        self->on_event(ChunkArrived{.from = from, .chunk = std::move(*chunk)});
        return;
      }
      self->corrupt.Add();
      self->on_event(ChunkCorrupt{.from = from, .manifest = id, .chunk = index});
    };
    this->verify(copy->manifest, data.chunk(), std::move(bytes), done);
  }
};

SpreadTransport::SpreadTransport(PeerTransport& peers, Metrics& metrics, ChunkStore& store,
                                 ChunkVerifier verify)
    : impl(std::make_shared<Impl>(peers, metrics, store, std::move(verify))) {}
SpreadTransport::~SpreadTransport() = default;

void SpreadTransport::Start(std::function<void(const SpreadEvent& event)> on_event) {
  this->impl->on_event = std::move(on_event);
  this->impl->SubscribeMaps();
  this->impl->SubscribeChunks();
  this->impl->SubscribeProbes();
}

void SpreadTransport::OnProbeAnswer(std::function<void(std::uint64_t number)> on_answer) {
  this->impl->on_probe_answer = std::move(on_answer);
}

void SpreadTransport::Probe(const std::string& peer, std::uint64_t number) {
  this->impl->SendProbe(peer, number, false);
}

void SpreadTransport::SetOrigin(const std::string& origin) { this->impl->origin = origin; }

void SpreadTransport::Send(const SendMap& action) {
  const WeightsCopy* copy = this->impl->store.Find(action.manifest);
  if (copy == nullptr) return;
  wire::Envelope message;
  wire::ChunkMap& map = *message.mutable_chunk_map();
  map.set_manifest(std::string(action.manifest.View()));
  const std::string bits = ChunkBits(*copy);
  map.set_bits(action.empty ? std::string(bits.size(), '\0') : bits);
  map.set_reply_wanted(action.reply_wanted);
  this->impl->SendControl(action.to, std::move(message));
}

void SpreadTransport::Send(const SendHave& action) {
  wire::Envelope message;
  wire::ChunkHave& have = *message.mutable_chunk_have();
  have.set_manifest(std::string(action.manifest.View()));
  have.mutable_chunks()->Add(action.chunks.begin(), action.chunks.end());
  this->impl->SendControl(action.to, std::move(message));
}

void SpreadTransport::Send(const SendRequest& action) {
  wire::Envelope message;
  wire::ChunkRequest& request = *message.mutable_chunk_request();
  request.set_manifest(std::string(action.manifest.View()));
  request.set_chunk(action.chunk);
  request.set_request_id(action.request_id);
  this->impl->SendControl(action.to, std::move(message));
}

void SpreadTransport::Send(const SendCancel& action) {
  this->impl->cancelled.Add();
  wire::Envelope message;
  wire::ChunkCancel& cancel = *message.mutable_chunk_cancel();
  cancel.set_manifest(std::string(action.manifest.View()));
  cancel.set_chunk(action.chunk);
  cancel.set_request_id(action.request_id);
  this->impl->SendControl(action.to, std::move(message));
}

void SpreadTransport::Send(const SendChunk& action) {
  const WeightsCopy* copy = this->impl->store.Find(action.manifest);
  if (copy == nullptr || !copy->Holds(action.chunk)) return;
  wire::Envelope message;
  wire::ChunkData& data = *message.mutable_chunk_data();
  data.set_manifest(std::string(action.manifest.View()));
  data.set_chunk(action.chunk);
  data.set_request_id(action.request_id);
  const SharedChunk& bytes = copy->chunks[action.chunk];
  this->impl->transport.SendShared(action.to, Lane::kBulk, std::move(message), bytes, *bytes);
  this->impl->sent.Add();
}

void SpreadTransport::Send(const SendRefusal& action) {
  this->impl->refused.Add();
  wire::Envelope message;
  wire::ChunkRefusal& refusal = *message.mutable_chunk_refusal();
  refusal.set_manifest(std::string(action.manifest.View()));
  refusal.set_chunk(action.chunk);
  refusal.set_request_id(action.request_id);
  refusal.set_busy(action.busy);
  this->impl->SendControl(action.to, std::move(message));
}

void SpreadTransport::Send(const SendHold& action) {
  wire::Envelope message;
  message.mutable_origin_hold()->set_origin(this->impl->origin);
  message.mutable_origin_hold()->set_hold_ms(static_cast<std::uint32_t>(ToMillis(action.hold)));
  this->impl->SendControl(action.to, std::move(message));
}

}  // namespace savory
