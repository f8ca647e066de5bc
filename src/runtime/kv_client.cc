#include "runtime/kv_client.h"

#include <oneapi/tbb/concurrent_queue.h>

#include "base/metrics.h"
#include "runtime/workers.h"

namespace savory {

struct KvClient::Impl {
  Workers& workers;
  std::string address;
  Duration timeout;
  Counter& calls;
  Counter& errors;
  oneapi::tbb::concurrent_queue<std::shared_ptr<KvConnection>> idle = {};

  std::shared_ptr<KvConnection> Take() {
    std::shared_ptr<KvConnection> connection;
    if (this->idle.try_pop(connection)) return connection;
    return std::make_shared<KvConnection>(this->address, this->timeout);
  }
};

namespace {

// Runs `call(connection)` on a worker and passes its result to `done`.
template <typename ImplPointer, typename Call, typename DoneCallback>
void RunCall(ImplPointer impl, Call call, DoneCallback done) {
  impl->calls.Add();
  impl->workers.RunThen(
      [impl, call = std::move(call)] {
        auto connection = impl->Take();
        auto result = call(*connection);
        if (result) {
          impl->idle.push(std::move(connection));
        } else {
          impl->errors.Add();
        }
        return result;
      },
      std::move(done));
}

}  // namespace

KvClient::KvClient(Workers& workers, Metrics& metrics, std::string address, Duration timeout)
    : impl(std::make_shared<Impl>(
          Impl{.workers = workers,
               .address = std::move(address),
               .timeout = timeout,
               .calls = metrics.CounterFor("savory_kv_calls_total"),
               .errors = metrics.CounterFor("savory_kv_call_errors_total")})) {}
KvClient::~KvClient() = default;

void KvClient::Read(std::string key, Done<std::optional<KvValue>> done) {
  RunCall(
      this->impl, [key = std::move(key)](KvConnection& kv) { return kv.Read(key); },
      std::move(done));
}

void KvClient::Watch(std::string key, std::uint64_t after, Duration wait,
                     Done<std::optional<KvValue>> done) {
  RunCall(
      this->impl,
      [key = std::move(key), after, wait](KvConnection& kv) { return kv.Watch(key, after, wait); },
      std::move(done));
}

void KvClient::CompareAndSwap(std::string key, std::string bytes, std::uint64_t expected,
                              Done<KvSwap> done) {
  RunCall(
      this->impl,
      [key = std::move(key), bytes = std::move(bytes), expected](KvConnection& kv) {
        return kv.CompareAndSwap(key, bytes, expected);
      },
      std::move(done));
}

void KvClient::AcquireLease(std::string name, std::string holder, Duration ttl,
                            Done<std::uint64_t> done) {
  RunCall(
      this->impl,
      [name = std::move(name), holder = std::move(holder), ttl](KvConnection& kv) {
        return kv.AcquireLease(name, holder, ttl);
      },
      std::move(done));
}

void KvClient::RenewLease(std::string name, std::string holder, std::uint64_t fence, Duration ttl,
                          Done<void> done) {
  RunCall(
      this->impl,
      [name = std::move(name), holder = std::move(holder), fence, ttl](KvConnection& kv) {
        return kv.RenewLease(name, holder, fence, ttl);
      },
      std::move(done));
}

void KvClient::ReleaseLease(std::string name, std::string holder, std::uint64_t fence,
                            Done<void> done) {
  RunCall(
      this->impl,
      [name = std::move(name), holder = std::move(holder), fence](KvConnection& kv) {
        return kv.ReleaseLease(name, holder, fence);
      },
      std::move(done));
}

}  // namespace savory
