// One process of the fleet as another process sees it.
#pragma once

#include <cstdint>
#include <string>

#include "base/digest.h"

namespace savory {

enum class MemberRole { kEntry, kAgent };
enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

struct Member {
  std::string vm;
  std::string peer;  // IP:PORT of the peer socket
  std::string region;
  std::string data_centre;
  MemberRole role = MemberRole::kAgent;
  std::string service = {};       // agents only
  std::uint64_t incarnation = 0;  // of the process; grows with each start
  std::uint64_t update = 0;       // grows with each change the member makes in one incarnation
  MemberState state = MemberState::kAlive;
  std::uint64_t tables_revision = 0;
  Digest loaded_manifest = {};  // agents only; zero when nothing is ready
  bool ready = false;           // agents only
};

}  // namespace savory
