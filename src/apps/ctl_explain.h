// Command of savoryrouterctl that tells where a request would go.
#pragma once

#include <string>
#include <string_view>

#include "apps/ctl_options.h"
#include "base/error.h"

namespace savory {

// Asks the entry that --operators names where a request to the host and path in the arguments would
// go, and prints why. Errors: kInvalidSettings, kUnavailable when the entry does not answer,
// kNotFound when it knows no such route or key, kOverloaded when it was asked too often,
// kMalformed.
Result<void> RunExplain(const CtlOptions& options);

// The text for people of an entry's answer. Errors: kMalformed.
Result<std::string> RenderExplanationTable(std::string_view answer);

}  // namespace savory
