// Shows operators which requests are refused as they end upstreams, and why.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "crashes/crash_registry.h"

namespace savory {

// What operators call a cause: digits of a fingerprint, or of the digest of a part.
std::string CauseName(const CrashCause& cause);

// The refusal whose cause has `name`; nullopt if there is none.
std::optional<CrashRefusal> FindRefusal(const CrashRegistry& registry, std::string_view name,
                                        Instant now);

// Returns a JSON array, an object for each refusal: "cause", "parts" (ids of parts of prompts, as
// `part_ids` knows them), "crashes", "for_ms" (until it ends) and "evidence", the last crashes with
// "upstream", "incarnation", "request" (digits of its fingerprint) and "ms_ago".
std::string RenderRefusals(const CrashRegistry& registry,
                           const std::function<std::string(const CrashCause&)>& part_ids,
                           Instant now);

}  // namespace savory
