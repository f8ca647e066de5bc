// Hands whole weights to the local engine.
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

// Serves GET /weights/DIGEST and GET /weights/DIGEST/manifest. A version is served only when every
// chunk is held. Thread-safe.
class WeightsServer {
 public:
  void Mount(HttpServer& server);

  // Serves exactly the whole versions among `copies` from now on. Streams in progress go on.
  void Publish(std::span<const WeightsCopy> copies);

  // Replies for the two paths; status 404 when the version is not held whole.
  HttpReply ServeWeights(const HttpRequest& request) const;
  HttpReply ServeManifest(const HttpRequest& request) const;

 private:
  std::shared_ptr<const WeightsCopy> Find(std::string_view hex) const;

  mutable std::mutex mutex;
  std::map<Digest, std::shared_ptr<const WeightsCopy>> complete = {};
};

}  // namespace savory
