// Decodes the platform's records.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/error.h"
#include "records/record_mirror.h"
#include "relay/routing_rules.h"
#include "relay/upstream.h"

namespace savory {

// The version of a model's weights that the operators want on every engine.
struct WeightsWanted {
  std::string model;
  std::uint64_t version = 0;
};

struct UpstreamGone {
  std::string id;
};

// Operators want nothing sent to the upstreams of a data centre, or took that back.
struct Evacuation {
  std::string data_centre;
  bool evacuated = false;
};

struct OtherRecord {};

using DecodedRecord =
    std::variant<RoutingRules, WeightsWanted, Evacuation, Upstream, UpstreamGone, OtherRecord>;

class RecordCodec {
 public:
  virtual ~RecordCodec() = default;

  // Key prefix of the records that operators write: the routing rules, the wanted weights and
  // the data centres that are evacuated.
  virtual std::string OperatorPrefix() const = 0;
  // Key prefix of the list of upstreams.
  virtual std::string UpstreamPrefix() const = 0;
  // Errors: kMalformed with the reason. An upstream whose record is malformed must not be used.
  virtual Result<DecodedRecord> Decode(const Record& record) const = 0;
};

}  // namespace savory
