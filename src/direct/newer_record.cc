#include "direct/newer_record.h"

#include <cstdint>
#include <variant>

#include "relay/record_codec.h"
#include "relay/routing_rules.h"
#include "relay/upstream.h"

namespace savory {
namespace {

// Grows with each change of what a record of its kind stands for; 0: it has no such number.
struct AgeOf {
  std::int64_t operator()(const RoutingRules& rules) const {
    return static_cast<std::int64_t>(rules.version);
  }
  std::int64_t operator()(const WeightsWanted& wanted) const {
    return static_cast<std::int64_t>(wanted.version);
  }
  std::int64_t operator()(const Upstream& upstream) const { return upstream.started_unix_ms; }
  template <typename Other>
  std::int64_t operator()(const Other&) const {
    return 0;
  }
};

}  // namespace

bool IsNewerRecord(const RecordCodec& codec, const Record& known, const Record& listed) {
  const auto before = codec.Decode(known);
  const auto after = codec.Decode(listed);
  if (!before || !after || before.value().index() != after.value().index()) return false;
  return std::visit(AgeOf(), after.value()) > std::visit(AgeOf(), before.value());
}

}  // namespace savory
