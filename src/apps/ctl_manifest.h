// Command of savoryrouterctl that computes the manifest of a weights file.
#pragma once

#include "apps/ctl_options.h"
#include "base/error.h"

namespace savory {

// Writes the manifest of a weights file and prints its digest. Errors: kInvalidSettings.
Result<void> RunManifest(const CtlOptions& options);

}  // namespace savory
