// Blocking HTTP client.
#pragma once

#include <memory>
#include <string>

#include "base/error.h"
#include "runtime/http.h"

namespace savory {

// Keeps one connection to `address` open; use one object for each thread. Blocks: call it from
// Workers.
class HttpClient {
 public:
  explicit HttpClient(std::string address);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  // Performs `call`. With `stream`, the body is passed to it and not stored.
  // Errors: kUnavailable when no connection could be made (the call was certainly not sent),
  // kTimeout when the connection failed or no answer came in time, kMalformed when the answer is
  // longer than allowed, kCancelled when `stream` returned false.
  Result<HttpAnswer> Call(const BlockingHttpCall& call, const HttpStream& stream = {});

  // Aborts a running Call() from another thread.
  void Cancel();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
