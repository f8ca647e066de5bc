// A request and an upstream that ended while it ran.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/time.h"

namespace savory {

// The upstream `upstream` ended, in its incarnation `upstream_incarnation`, while a request with
// `fingerprint` was running there. With `served` it is the opposite: a request with `fingerprint`,
// or with the part of a prompt that has this digest, was answered, so that all its earlier crashes
// were caused by others.
struct CrashRecord {
  Digest fingerprint = {};
  std::vector<Digest> parts = {};  // of the request's prompt that may have caused the end
  std::string upstream = {};       // its VM or id; empty if `served`
  std::uint64_t upstream_incarnation = 0;
  std::uint32_t hops = 0;  // times forwarded; 0 from the process that detected the crash
  Duration age = {};       // since the crash or the answer
  bool served = false;

  auto operator<=>(const CrashRecord&) const = default;
};

}  // namespace savory
