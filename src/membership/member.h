// A process of the fleet, as known to the process that holds this record.
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
  std::uint64_t incarnation = 0;  // higher after each start of the process
  std::uint64_t update = 0;       // higher after each change of the member in one incarnation
  MemberState state = MemberState::kAlive;
  std::uint64_t tables_revision = 0;
  Digest loaded_manifest = {};  // agents only; zero if none is loaded
  bool ready = false;           // agents only
};

}  // namespace savory
