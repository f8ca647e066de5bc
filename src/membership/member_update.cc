#include "membership/member_update.h"

namespace savory {
namespace {

wire::MemberState StateToWire(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return wire::MEMBER_ALIVE;
    case MemberState::kSuspect:
      return wire::MEMBER_SUSPECT;
    case MemberState::kLeaving:
      return wire::MEMBER_LEAVING;
    case MemberState::kDead:
      return wire::MEMBER_DEAD;
  }
  return wire::MEMBER_ALIVE;
}

MemberState StateFromWire(wire::MemberState state) {
  switch (state) {
    case wire::MEMBER_SUSPECT:
      return MemberState::kSuspect;
    case wire::MEMBER_LEAVING:
      return MemberState::kLeaving;
    case wire::MEMBER_DEAD:
      return MemberState::kDead;
    default:
      return MemberState::kAlive;
  }
}

}  // namespace

wire::MemberUpdate ToUpdate(const Member& member) {
  wire::MemberUpdate update;
  update.set_vm(member.vm);
  update.set_peer(member.peer);
  update.set_region(member.region);
  update.set_data_centre(member.data_centre);
  update.set_role(member.role == MemberRole::kEntry ? wire::ROLE_ENTRY : wire::ROLE_AGENT);
  update.set_service(member.service);
  update.set_incarnation(member.incarnation);
  update.set_update(member.update);
  update.set_state(StateToWire(member.state));
  update.set_tables_revision(member.tables_revision);
  if (!member.loaded_manifest.IsZero()) {
    update.set_loaded_manifest(std::string(member.loaded_manifest.View()));
  }
  update.set_ready(member.ready);
  return update;
}

Member FromUpdate(const wire::MemberUpdate& update) {
  return Member{.vm = update.vm(),
                .peer = update.peer(),
                .region = update.region(),
                .data_centre = update.data_centre(),
                .role = update.role() == wire::ROLE_ENTRY ? MemberRole::kEntry : MemberRole::kAgent,
                .service = update.service(),
                .incarnation = update.incarnation(),
                .update = update.update(),
                .state = StateFromWire(update.state()),
                .tables_revision = update.tables_revision(),
                .loaded_manifest = DigestFromRaw(update.loaded_manifest()),
                .ready = update.ready()};
}

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

}  // namespace savory
