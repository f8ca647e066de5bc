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
  std::vector<std::string> seeds = {};  // IP:PORT of peer sockets; asked for members at start
  std::string vm_list = {};             // IP:PORT of the platform's VM list; empty: not read
};

// Reads the section `membership`, which does not set `vm_list`. Errors are collected in `reader`.
MembershipDriverOptions ReadMembershipOptions(SettingsReader reader);

// All calls must be made on the loop's thread.
class MembershipDriver {
 public:
  MembershipDriver(Node& node, MembershipDriverOptions options);
  ~MembershipDriver();

  // Starts pinging and reading the VM list.
  void Start();

  // All members that are not dead, including this process, ordered by VM name.
  const std::vector<Member>& Members() const;
  // nullptr when `vm` is unknown or dead.
  const Member* Find(std::string_view vm) const;

  // Calls `listener` on the tick after Members() has changed. A change of only the tables' revision
  // of a member does not count.
  void OnChange(std::function<void()> listener);

  // Sets which weights this process has loaded and whether it is ready. A change raises the
  // `update` of its member record.
  void SetReady(const Digest& loaded_manifest, bool ready);
  // Sets the tables' revision that this process reports in its messages.
  void SetTablesRevision(std::uint64_t revision);
  // Sets the state of this process to "leaving" and sends it to some members at once.
  void Leave();

  // Calls `listener` when a peer reports a higher revision of the tables than this process has.
  void OnHigherRevision(std::function<void(const Member& peer)> listener);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
