// Results of claim requests.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "wire/savoryrouter.pb.h"

namespace savory {

// The claim is stored with this nonce; its requester may send the attempt once.
struct ClaimGranted {
  std::string nonce;
};
// The key was already claimed; `claim` is the stored claim, finished or not.
struct ClaimFound {
  wire::Claim claim;
};
using ClaimAnswer = std::variant<ClaimGranted, ClaimFound>;

// The answer to a finished request, to be recorded with its claim.
struct RecordedAnswer {
  std::uint32_t status = 0;
  std::string content_type = {};
  std::string body = {};
  bool record = true;  // false: content type and body are not recorded
};

}  // namespace savory
