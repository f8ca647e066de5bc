// Client for the weights API of the local engine.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "distribution/load_controller.h"

namespace savory {

class Workers;

// Calls run on worker threads; `done` runs on the event loop's thread. At most one call of each
// kind may be in progress.
class EngineClient {
 public:
  // Both addresses are IP:PORT. The engine fetches the weights from `weights_address`.
  EngineClient(Workers& workers, std::string engine, std::string weights_address);
  ~EngineClient();

  // GET /v1/state; nullopt if the engine gives no usable answer. While a call is in progress a
  // further one is ignored, and its `done` is not called.
  void ReadState(std::function<void(std::optional<EngineReported>)> done);
  // POST /v1/load. The request is not sent at or after its `not_after`.
  void Load(const StartLoad& request, std::function<void(LoadResponse)> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
