// Commands of savoryrouterctl that edit the tables.
#pragma once

#include "apps/ctl_options.h"
#include "base/error.h"

namespace savory {

// Each command prints "accepted" only when the write is known to have taken effect. Errors: invalid
// input, kEditConflict, kUnavailable (not written), kWriteOutcomeUnknown, and with --wait kTimeout
// (written, but not applied by every process; the detail names the processes that lag).
Result<void> RunApply(const CtlOptions& options);
Result<void> RunSetPool(const CtlOptions& options);
Result<void> RunSetRoute(const CtlOptions& options);
Result<void> RunRemovePool(const CtlOptions& options);
Result<void> RunRemoveRoute(const CtlOptions& options);
Result<void> RunRollback(const CtlOptions& options);

}  // namespace savory
