// Runs Membership on the event loop and the peer transport.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/settings.h"
#include "membership/member.h"
#include "runtime/node.h"

namespace savory {

struct MembershipDriverOptions {
  std::vector<std::string> seeds = {};  // IP:PORT of peer sockets asked at the start
  std::string vm_list = {};             // IP:PORT of the platform's VM list; empty: none
};

// Reads the section `membership`, which does not name `vm_list`; errors stay in `reader`.
MembershipDriverOptions ReadMembershipOptions(SettingsReader reader);

// All calls on the loop's thread.
class MembershipDriver {
 public:
  MembershipDriver(Node& node, MembershipDriverOptions options);
  ~MembershipDriver();

  // Starts pinging and reading the VM list.
  void Start();

  // Every known member that is not dead, this process included, ordered by VM name.
  const std::vector<Member>& Members() const;
  // nullptr when `vm` is unknown or dead.
  const Member* Find(std::string_view vm) const;

  // Calls `listener` after a change of Members().
  void OnChange(std::function<void()> listener);

  // This process's own fields; a change is spread with a new incarnation of the update.
  void SetReady(const Digest& loaded_manifest, bool ready);
  void SetTablesRevision(std::uint64_t revision);
  // Spreads the state "leaving" at once.
  void Leave();

  // Calls `listener` when a peer reports a higher revision of the tables than this process has.
  void OnHigherRevision(std::function<void(const Member& peer)> listener);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
