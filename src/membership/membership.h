// Membership of the fleet by the SWIM protocol with suspicion. The class does no I/O.
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
  Duration ack_timeout = std::chrono::milliseconds(500);  // then others ping the target
  Duration suspicion = std::chrono::seconds(4);           // after it, a suspect is declared dead
  Duration dead_retention = std::chrono::hours(2);
  Duration dead_ping_period = std::chrono::seconds(5);
  Duration sync_period = std::chrono::seconds(10);  // between pulls of one page of a peer's list
  // A longer gap between two ticks means that this process was paused. The gap is then not counted
  // in the suspicion time of other members.
  Duration pause_threshold = std::chrono::seconds(1);
  std::size_t indirect_pings = 3;
  std::size_t leave_fan_out = 4;
  std::size_t max_updates = 12;  // in one ping, acknowledgement or ping request
  std::size_t page_members = 100;
};

// SWIM member list of one process. Updates about a member are ordered by (incarnation, update,
// state). Only the member itself raises the first two, so that it can refute a false suspicion. A
// change of the tables' revision does not raise them, because each edit of the tables would then
// spread one update per member. The cost per second does not grow with the number of members.
class Membership {
 public:
  // Events.
  struct Start {
    std::vector<std::string> seeds;  // IP:PORT
  };
  struct MessageArrived {
    wire::Envelope message;
  };
  // A row of the platform's VM list.
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
  // A peer reported a higher revision of the tables than that of this process.
  struct HigherRevisionSeen {
    std::string vm;
  };
  using Action = std::variant<SendMessage, MembersChanged, HigherRevisionSeen>;

  // `random` must outlive this object.
  Membership(Member self, MembershipOptions options, Random& random);
  ~Membership();

  // Handles one event. Tick must be sent at least every 100 ms.
  std::vector<Action> Handle(const Event& event, Instant now);

  // All members that are not dead, including this process, ordered by VM name.
  const std::vector<Member>& Members() const;
  // nullptr when `vm` is unknown or dead.
  const Member* Find(std::string_view vm) const;
  // Number of dead members that are still kept (see `dead_retention`).
  std::size_t DeadCount() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
