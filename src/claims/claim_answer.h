// Answers of the claim logic.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "wire/savoryrouter.pb.h"

namespace savory {

// The claim was written with this process's nonce: the attempt may be sent, once.
struct ClaimGranted {
  std::string nonce;
};
// Another receipt of the same key came first; `claim` tells how far it got.
struct ClaimFound {
  wire::Claim claim;
};
using ClaimAnswer = std::variant<ClaimGranted, ClaimFound>;

// The answer of a finished call.
struct RecordedAnswer {
  std::uint32_t status = 0;
  std::string content_type = {};
  std::string body = {};
  bool record = true;  // false: only "done" and the status are recorded
};

}  // namespace savory
