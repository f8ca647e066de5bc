#include "membership/membership_driver.h"

#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "membership/member_update.h"
#include "membership/membership.h"
#include "runtime/event_loop.h"
#include "runtime/http_client.h"
#include "runtime/peer_transport.h"
#include "runtime/workers.h"

namespace savory {
namespace {

using nlohmann::json;

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
// The VM list is only a secondary source and every process of the fleet reads it. To limit the load
// on its server, it is read rarely and with jitter.
constexpr Duration kListPeriod = std::chrono::seconds(30);
constexpr Duration kListRetryPeriod = std::chrono::seconds(2);
constexpr Duration kListTimeout = std::chrono::seconds(2);

std::optional<std::vector<Membership::ListedVm>> ParseVmList(const std::string& body) {
  const json rows = json::parse(body, nullptr, false);
  if (!rows.is_array()) return std::nullopt;
  std::vector<Membership::ListedVm> vms;
  for (const json& row : rows) {
    if (!row.is_object() || !row.contains("vm") || !row["vm"].is_string()) continue;
    if (!row.contains("peer") || !row["peer"].is_string()) continue;
    vms.push_back({.vm = row["vm"].get<std::string>(),
                   .peer = row["peer"].get<std::string>(),
                   .leaving = row.contains("state") && row["state"] == "leaving"});
  }
  return vms;
}

Member SelfOf(const NodeIdentity& identity) {
  return Member{.vm = identity.vm,
                .peer = identity.peer,
                .region = identity.region,
                .data_centre = identity.data_centre,
                .role = identity.agent ? MemberRole::kAgent : MemberRole::kEntry,
                .service = identity.service,
                .incarnation = identity.incarnation};
}

}  // namespace

struct MembershipDriver::Impl {
  Node& node;
  MembershipDriverOptions options;
  Membership core;
  std::shared_ptr<HttpClient> list_client = {};
  std::vector<std::function<void()>> change_listeners = {};
  std::vector<std::function<void(const Member&)>> revision_listeners = {};
  Gauge& member_count;
  // Expires with the driver, so that later answers are dropped.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  void Handle(const Membership::Event& event) {
    for (Membership::Action& action : this->core.Handle(event, this->node.loop.Now())) {
      std::visit([this](auto& typed) { this->Perform(typed); }, action);
    }
  }

  void Perform(Membership::SendMessage& send) {
    this->node.peers.Send(send.peer, Lane::kControl, std::move(send.message));
  }

  void Perform(const Membership::MembersChanged&) {
    this->member_count.Set(static_cast<double>(this->core.Members().size()));
    for (const auto& listener : this->change_listeners) listener();
  }

  void Perform(const Membership::HigherRevisionSeen& seen) {
    const Member* member = this->core.Find(seen.vm);
    if (member == nullptr) return;
    const Member copy = *member;
    for (const auto& listener : this->revision_listeners) listener(copy);
  }

  void ReadVmList() {
    if (this->options.vm_list.empty()) return;
    if (!this->list_client) this->list_client = std::make_shared<HttpClient>(this->options.vm_list);
    const auto work = [client = this->list_client] {
      return client->Call(
          {.target = "/vms", .connect_timeout = kListTimeout, .read_timeout = kListTimeout});
    };
    this->node.workers.RunThen(
        work, [this, guard = std::weak_ptr(this->alive)](const Result<HttpAnswer>& answer) {
          if (!guard.expired()) this->OnVmList(answer);
        });
  }

  void OnVmList(const Result<HttpAnswer>& answer) {
    const bool read = answer.has_value() && answer.value().status == 200;
    const auto vms = read ? ParseVmList(answer.value().body) : std::nullopt;
    if (vms) this->Handle(Membership::VmListArrived{.vms = *vms});
    const bool known = vms || this->core.Members().size() > 1;
    const Duration period = known ? kListPeriod : kListRetryPeriod;
    const double jitter = 0.5 + UniformUnit(this->node.random);
    this->node.loop.After(FromSeconds(ToSeconds(period) * jitter), [this] { this->ReadVmList(); });
  }

  void Subscribe() {
    const auto forward = [this](const wire::Envelope& message, std::span<const std::byte>) {
      this->Handle(Membership::MessageArrived{.message = message});
    };
    for (const int body :
         {wire::Envelope::kPing, wire::Envelope::kPingAck, wire::Envelope::kPingRequest,
          wire::Envelope::kMembersPull, wire::Envelope::kMembersPush}) {
      this->node.peers.Subscribe(body, forward);
    }
  }
};

MembershipDriverOptions ReadMembershipOptions(SettingsReader reader) {
  MembershipDriverOptions options;
  options.seeds = reader.TextList("seeds");
  for (const std::string& seed : options.seeds) {
    if (!IsAddress(seed)) reader.Fail("seeds", "must list IP:PORT with numeric IP addresses");
  }
  return options;
}

MembershipDriver::MembershipDriver(Node& node, MembershipDriverOptions options)
    : impl(new Impl{.node = node,
                    .options = std::move(options),
                    .core = Membership(SelfOf(node.identity), MembershipOptions{}, node.random),
                    .member_count = node.metrics.GaugeFor("savory_members")}) {}
MembershipDriver::~MembershipDriver() = default;

void MembershipDriver::Start() {
  this->impl->Subscribe();
  this->impl->Handle(Membership::Start{.seeds = this->impl->options.seeds});
  this->impl->node.loop.Every(kTickPeriod,
                              [impl = this->impl.get()] { impl->Handle(Membership::Tick{}); });
  this->impl->ReadVmList();
}

const std::vector<Member>& MembershipDriver::Members() const { return this->impl->core.Members(); }

const Member* MembershipDriver::Find(std::string_view vm) const {
  return this->impl->core.Find(vm);
}

void MembershipDriver::OnChange(std::function<void()> listener) {
  this->impl->change_listeners.push_back(std::move(listener));
}

void MembershipDriver::SetReady(const Digest& loaded_manifest, bool ready) {
  this->impl->Handle(Membership::ReadyChanged{.loaded_manifest = loaded_manifest, .ready = ready});
}

void MembershipDriver::SetTablesRevision(std::uint64_t revision) {
  this->impl->Handle(Membership::RevisionChanged{.revision = revision});
}

void MembershipDriver::Leave() { this->impl->Handle(Membership::LeaveOrdered{}); }

void MembershipDriver::OnHigherRevision(std::function<void(const Member& peer)> listener) {
  this->impl->revision_listeners.push_back(std::move(listener));
}

}  // namespace savory
