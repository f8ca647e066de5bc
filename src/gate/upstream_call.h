// An HTTP call to the local upstream.
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

// Callbacks of a call; they run on the thread of Run().
struct UpstreamCallListener {
  std::function<void(HttpAnswer head)> on_head;
  std::function<void(std::vector<std::byte> part)> on_part;
  std::function<void(CallResult result)> on_end;
};

// Run() blocks and must be called on a thread of Workers. Cancel() may be called from another
// thread until `on_end`.
class UpstreamCall {
 public:
  UpstreamCall(std::unique_ptr<HttpClient> client, BlockingHttpCall call,
               UpstreamCallListener listener);
  ~UpstreamCall();

  void Run();
  void Cancel();
  // Returns the client for reuse by the next call; valid after `on_end`.
  std::unique_ptr<HttpClient> TakeClient();

 private:
  std::unique_ptr<HttpClient> client;
  BlockingHttpCall call;
  UpstreamCallListener listener;
  std::atomic<bool> cancelled = false;
};

}  // namespace savory
