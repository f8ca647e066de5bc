#include "crashes/request_fingerprint.h"

#include <string>

#include "base/sha256_hasher.h"

namespace savory {

Digest RequestFingerprint(std::initializer_list<std::string_view> parts) {
  Sha256Hasher hasher;
  for (const std::string_view part : parts) {
    const std::string size = std::to_string(part.size()) + ":";
    hasher.Update(AsBytes(size));
    hasher.Update(AsBytes(part));
  }
  return hasher.Finish();
}

}  // namespace savory
