// Serves complete versions of the weights to the local engine over HTTP.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string_view>

#include "base/digest.h"
#include "distribution/chunk_store.h"
#include "runtime/http.h"

namespace savory {

class HttpServer;

// Serves GET /weights/DIGEST and GET /weights/DIGEST/manifest. A version is served only if all of
// its chunks are held. Thread-safe.
class WeightsServer {
 public:
  void Mount(HttpServer& server);

  // Replaces the served versions by the complete ones among `copies`. Streams in progress continue.
  void Publish(std::span<const WeightsCopy> copies);

  // Replies for the two paths; status 404 if the version is not complete.
  HttpReply ServeWeights(const HttpRequest& request) const;
  HttpReply ServeManifest(const HttpRequest& request) const;

 private:
  std::shared_ptr<const WeightsCopy> Find(std::string_view hex) const;

  mutable std::mutex mutex;
  std::map<Digest, std::shared_ptr<const WeightsCopy>> complete = {};
};

}  // namespace savory
