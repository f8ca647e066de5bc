// Identifies a request when its caller sends it again.
#pragma once

#include <initializer_list>
#include <string_view>

#include "base/digest.h"

namespace savory {

// Digest of `parts` and their boundaries.
Digest RequestFingerprint(std::initializer_list<std::string_view> parts);

}  // namespace savory
