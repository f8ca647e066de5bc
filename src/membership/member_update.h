// Conversion between Member and wire::MemberUpdate.
#pragma once

#include "membership/member.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

wire::MemberUpdate ToUpdate(const Member& member);
Member FromUpdate(const wire::MemberUpdate& update);

// "alive", "suspect", "leaving" or "dead".
std::string_view MemberStateName(MemberState state);

}  // namespace savory
