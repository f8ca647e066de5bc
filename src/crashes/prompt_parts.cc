#include "crashes/prompt_parts.h"

#include <algorithm>

#include "crashes/request_fingerprint.h"

namespace savory {

Digest PromptPartDigest(std::string_view id) { return RequestFingerprint({"prompt part", id}); }

std::vector<std::string_view> SharedPromptParts(std::string_view list) {
  std::vector<std::string_view> ids;
  for (std::size_t comma = list.find(','); comma != std::string_view::npos;
       comma = list.find(',')) {
    std::string_view id = list.substr(0, std::min(comma, list.find(':')));
    list.remove_prefix(comma + 1);
    while (!id.empty() && id.front() == ' ') id.remove_prefix(1);
    while (!id.empty() && id.back() == ' ') id.remove_suffix(1);
    if (id.empty() || id.size() > kMaxPromptPartId) continue;
    if (std::ranges::find(ids, id) != ids.end()) continue;
    ids.push_back(id);
    if (ids.size() == kMaxPromptParts) break;
  }
  return ids;
}

std::vector<Digest> PromptPartDigests(const std::vector<std::string_view>& ids) {
  std::vector<Digest> digests;
  digests.reserve(ids.size());
  for (const std::string_view id : ids) digests.push_back(PromptPartDigest(id));
  return digests;
}

}  // namespace savory
