// Who belongs to the fleet: SWIM with suspicion, as a class without I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/member.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

struct MembershipOptions {
  Duration ping_period = std::chrono::seconds(1);
  Duration ack_timeout = std::chrono::milliseconds(500);  // then other members are asked to ping
  Duration suspicion = std::chrono::seconds(4);           // then a suspect is dead
  Duration dead_retention = std::chrono::hours(2);
  Duration dead_ping_period = std::chrono::seconds(5);
  Duration sync_period = std::chrono::seconds(10);  // of pulling one page of the member list
  // A longer gap between two ticks means that this process was paused; time that passed during the
  // gap does not count against other members.
  Duration pause_threshold = std::chrono::seconds(1);
  std::size_t indirect_pings = 3;
  std::size_t leave_fan_out = 4;
  std::size_t max_updates = 12;  // in one ping or acknowledgement
  std::size_t page_members = 100;
};

// SWIM member list of one process. An update about a member is ordered by (incarnation, update,
// state); only the member itself raises the first two, so that it can refute a false suspicion.
// Changes of the tables' revision do not raise them: they would spread one update for each member
// and edit. Cost per second does not depend on the number of members.
class Membership {
 public:
  // Events.
  struct Start {
    std::vector<std::string> seeds;  // IP:PORT
  };
  struct MessageArrived {
    wire::Envelope message;
  };
  // One row of the platform's VM list.
  struct ListedVm {
    std::string vm;
    std::string peer;
    bool leaving = false;
  };
  struct VmListArrived {
    std::vector<ListedVm> vms;
  };
  struct ReadyChanged {
    Digest loaded_manifest;
    bool ready = false;
  };
  struct RevisionChanged {
    std::uint64_t revision = 0;
  };
  struct LeaveOrdered {};
  struct Tick {};
  using Event = std::variant<Start, MessageArrived, VmListArrived, ReadyChanged, RevisionChanged,
                             LeaveOrdered, Tick>;

  // Actions.
  struct SendMessage {
    std::string peer;  // IP:PORT
    wire::Envelope message;
  };
  struct MembersChanged {};
  // A peer has a higher revision of the tables than this process.
  struct HigherRevisionSeen {
    std::string vm;
  };
  using Action = std::variant<SendMessage, MembersChanged, HigherRevisionSeen>;

  // `random` must outlive this object.
  Membership(Member self, MembershipOptions options, Random& random);
  ~Membership();

  // Handles one event. Call with Tick at least every 100 ms.
  std::vector<Action> Handle(const Event& event, Instant now);

  // Every member that is not dead, this process included, ordered by name.
  const std::vector<Member>& Members() const;
  // nullptr when `vm` is unknown or dead.
  const Member* Find(std::string_view vm) const;
  // Dead members that are still kept.
  std::size_t DeadCount() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
