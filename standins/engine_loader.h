// Downloads weights into the memory of the engine stand-in.
#pragma once

#include <functional>
#include <string>

#include "base/error.h"
#include "runtime/http.h"

namespace savory::standins {

// Location of the weights.
struct WeightsSource {
  std::string address;   // IP:PORT
  std::string target;    // path of the weights; the manifest is at the path + "/manifest"
  std::string manifest;  // hexadecimal digest of the manifest
};

// Takes "http://IP:PORT/path" or "IP:PORT/path". Errors: kMalformed.
Result<WeightsSource> ParseSource(const std::string& url, const std::string& manifest);

// Receives the number of bytes so far and the total; returns false to stop.
using LoadProgress = std::function<bool(std::uint64_t bytes, std::uint64_t total)>;

// Reads the manifest and then the weights, and checks the SHA-256 of the complete weights. Errors:
// kDigestMismatch, kMalformed, kNotFound, kCancelled, and those of HttpClient::Call.
Result<void> PullWeights(const WeightsSource& source, const LoadProgress& progress);

}  // namespace savory::standins
