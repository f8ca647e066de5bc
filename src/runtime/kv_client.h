// Client of the key-value service for the event loop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "runtime/kv_connection.h"

namespace savory {

class EventLoop;
class Metrics;
class Workers;

// Runs KvConnection calls on workers; `done` runs on the loop's thread. The errors are those of
// KvConnection.
class KvClient {
 public:
  template <typename T>
  using Done = std::function<void(Result<T>)>;

  KvClient(Workers& workers, Metrics& metrics, std::string address, Duration timeout);
  ~KvClient();

  void Read(std::string key, Done<std::optional<KvValue>> done);
  void Watch(std::string key, std::uint64_t after, Duration wait,
             Done<std::optional<KvValue>> done);
  void CompareAndSwap(std::string key, std::string bytes, std::uint64_t expected,
                      Done<KvSwap> done);
  void AcquireLease(std::string name, std::string holder, Duration ttl, Done<std::uint64_t> done);
  void RenewLease(std::string name, std::string holder, std::uint64_t fence, Duration ttl,
                  Done<void> done);
  void ReleaseLease(std::string name, std::string holder, std::uint64_t fence, Done<void> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
