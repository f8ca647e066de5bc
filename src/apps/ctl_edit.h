// Commands that write the tables.
#pragma once

#include "apps/ctl_options.h"
#include "base/error.h"

namespace savory {

// Each prints "accepted" only when the write is known to have taken effect. Errors: bad input,
// kEditConflict, kUnavailable (not written), kWriteOutcomeUnknown, and with --wait kTimeout
// (written, but not in force everywhere; the detail names who lags).
Result<void> RunApply(const CtlOptions& options);
Result<void> RunSetPool(const CtlOptions& options);
Result<void> RunSetRoute(const CtlOptions& options);
Result<void> RunRemovePool(const CtlOptions& options);
Result<void> RunRemoveRoute(const CtlOptions& options);
Result<void> RunRollback(const CtlOptions& options);

}  // namespace savory
