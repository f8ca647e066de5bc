// Commands of savoryrouterctl that read the tables: check, get, diff, history.
#pragma once

#include "apps/ctl_options.h"
#include "base/error.h"

namespace savory {

// Each command prints its result. Errors: invalid input, and those of the key-value service.
Result<void> RunCheck(const CtlOptions& options);
Result<void> RunGet(const CtlOptions& options);
Result<void> RunDiff(const CtlOptions& options);
Result<void> RunHistory(const CtlOptions& options);

// Timeout of one call to the key-value service.
inline constexpr Duration kCtlCallTimeout = std::chrono::seconds(2);

}  // namespace savory
