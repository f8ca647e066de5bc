#include "direct/crash_exchange.h"

#include <utility>

#include "crashes/crash_notice.h"
#include "fleet/entry_links.h"
#include "relay/crash_guard.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

CrashExchange::CrashExchange(EventLoop& loop, PeerTransport& peers, EntryLinks& links,
                             RecordStore& store, CrashGuard& crashes)
    : peers(peers), links(links), crashes(crashes), archive(loop, store, {}) {}

void CrashExchange::Start() {
  this->crashes.OnForward([this](const CrashForward& forward) {
    wire::Envelope message;
    EncodeCrashNotice(forward.record, *message.mutable_crash_notice());
    this->peers.Send(forward.peer, Lane::kControl, std::move(message));
  });
  this->crashes.OnSave([this](const CrashCause& cause, std::span<const CrashRecord> records) {
    this->archive.Save(cause, records);
  });
  this->peers.Subscribe(wire::Envelope::kCrashNotice, [this](const wire::Envelope& message, auto) {
    this->crashes.AddRecord(DecodeCrashNotice(message.crash_notice()));
  });
  this->links.SetCrashesDigestSource([this] { return this->crashes.SharedDigest(); });
  this->links.OnCrashesDigest([this](const std::string& entry, std::uint64_t digest) {
    this->crashes.OnPeerDigest(entry, digest);
  });
  this->archive.Load([this](const CrashRecord& record) { this->crashes.AddRecord(record); });
}

}  // namespace savory
