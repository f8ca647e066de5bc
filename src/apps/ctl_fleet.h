// Commands of savoryrouterctl that read the status of the fleet, and the wait of --wait.
#pragma once

#include <cstdint>

#include "apps/ctl_options.h"
#include "base/error.h"

namespace savory {

// Prints one line (or with --json one array element) for each process. Errors: kInvalidSettings,
// and those of ReadOperatorAddresses().
Result<void> RunStatus(const CtlOptions& options);

// Prints the progress of a pool's rollout until every agent of the pool that answers is ready and
// serves the pinned manifest. Waits as well while no agent of the pool answers.
// Errors: kRowNotFound, kTimeout, and those of the key-value service.
Result<void> RunWatch(const CtlOptions& options);

// Waits until every process has applied `revision` or a higher one. Errors: kTimeout, with the
// names of the processes that lag or do not answer.
Result<void> WaitUntilApplied(const CtlOptions& options, std::uint64_t revision);

}  // namespace savory
