// One call of the local upstream.
#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "base/error.h"
#include "gate/gate_events.h"
#include "runtime/http.h"

namespace savory {

class HttpClient;

// What happens during a call; called on the thread of Run().
struct UpstreamCallListener {
  std::function<void(HttpAnswer head)> on_head;
  std::function<void(std::vector<std::byte> part)> on_part;
  std::function<void(CallResult result)> on_end;
};

// Run() blocks: call it from Workers. Cancel() may be called from another thread until `on_end`.
class UpstreamCall {
 public:
  UpstreamCall(std::unique_ptr<HttpClient> client, BlockingHttpCall call,
               UpstreamCallListener listener);
  ~UpstreamCall();

  void Run();
  void Cancel();
  // The client, for the next call; valid after `on_end`.
  std::unique_ptr<HttpClient> TakeClient();

 private:
  std::unique_ptr<HttpClient> client;
  BlockingHttpCall call;
  UpstreamCallListener listener;
  std::atomic<bool> cancelled = false;
};

}  // namespace savory
