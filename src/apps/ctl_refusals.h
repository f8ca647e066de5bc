// Commands of savoryrouterctl on requests that end upstreams.
#pragma once

#include "apps/ctl_options.h"
#include "base/error.h"

namespace savory {

// Both ask the entries whose operator ports (on the users' platform, metrics addresses) --operators
// names. Errors: kInvalidSettings without any, kUnavailable when none answers.

// Prints the refusals of the first entry that answers. All entries have the same, but for the
// moments in which one spreads.
Result<void> RunRefusals(const CtlOptions& options);

// Lifts the refusal with the cause in the arguments. The entries tell each other. Errors:
// kRowNotFound when no entry that answers knows it.
Result<void> RunLift(const CtlOptions& options);

}  // namespace savory
