// Identifies the parts of prompts that requests share.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "base/digest.h"

namespace savory {

// Further parts and longer ids are ignored: callers choose both.
inline constexpr std::size_t kMaxPromptParts = 16;
inline constexpr std::size_t kMaxPromptPartId = 64;

// Digest of the part `id`.
Digest PromptPartDigest(std::string_view id);

// Reads a comma-separated list of parts, each an id that may be followed by a colon and other data.
// The last one belongs to the request itself and is left out. Entries without an id are ignored.
std::vector<std::string_view> SharedPromptParts(std::string_view list);

// Digests of `ids`, each one once.
std::vector<Digest> PromptPartDigests(const std::vector<std::string_view>& ids);

}  // namespace savory
