// Calls of the local engine that concern its weights.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "distribution/load_controller.h"

namespace savory {

class Workers;

// Calls run on workers; `done` runs on the loop's thread. At most one call of each kind at a time.
class EngineClient {
 public:
  // Addresses are IP:PORT; the engine fetches the weights from `weights_address`.
  EngineClient(Workers& workers, std::string engine, std::string weights_address);
  ~EngineClient();

  // GET /v1/state; nullopt when the engine gives no usable answer. A call in progress is shared:
  // `done` is then not called.
  void ReadState(std::function<void(std::optional<EngineReported>)> done);
  // POST /v1/load. The order is not sent at or after its `not_after`.
  void Load(const StartLoad& request, std::function<void(LoadResponse)> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
