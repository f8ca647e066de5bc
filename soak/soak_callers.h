// Callers of a soak run: a steady load over all routes, on reused and on new connections.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "runtime/http_connection_pool.h"
#include "soak/checker.h"
#include "soak/soak_layout.h"

namespace savory {

class EventLoop;
namespace platform {
struct EagerRequest;
}

class SoakCallers {
 public:
  SoakCallers(EventLoop& loop, Checker& checker, const SoakLayout& layout, std::uint64_t seed);
  ~SoakCallers();

  void Start(double requests_per_second);
  // Sends a request that ends its upstreams to several entry VMs, again and again.
  void RepeatCrashing(const std::string& body, int times, Duration period);
  // Sends requests that share the prompt part `part`, no two alike otherwise.
  void SendCrashingPart(const std::string& part, int times, Duration period);
  void SetRate(double requests_per_second) { this->rate = requests_per_second; }
  void Stop() { this->stopped = true; }
  // Number of entry VMs whose readiness probe succeeds.
  std::size_t ReadyEntries() const;
  std::size_t InProgress() const { return this->in_progress; }

 private:
  class EagerConnection;

  void Probe();
  // Keeps connections open on which request follows request.
  void StartEager();
  platform::EagerRequest DrawEager(std::size_t entry);
  void SendNext();
  double Rate() const;
  // Callers open connections only to entry VMs that are ready, but use open ones until they end.
  bool IsUsable(std::size_t entry) const;
  void SendOne();
  const RouteRule& DrawRoute();
  std::size_t DrawEntry();
  // With a `body` or a `part`, the request ends its upstreams.
  void Send(std::size_t entry, const RouteRule& route, const AccountRule& account,
            const std::string& body, const std::string& part = {});
  platform::CallerRequest MakeRequest(std::size_t entry, const RouteRule& route,
                                      const AccountRule& account, const std::string& body,
                                      const std::string& part);
  // Parts that other requests share, `part` among them unless it is empty, and one of its own.
  std::string DrawPrompt(const std::string& account, const std::string& part,
                         const std::string& own);

  EventLoop& loop;
  Checker& checker;
  SoakLayout layout;
  Random random;
  Metrics metrics;
  // By entry VM. Callers keep idle connections as long as the entry VM does.
  std::vector<std::unique_ptr<HttpConnectionPool>> connections = {};
  HttpConnectionPool probes;
  std::vector<std::unique_ptr<EagerConnection>> eager;
  RoutingRules rules;
  std::vector<bool> ready;
  double rate = 0;
  bool stopped = false;
  std::size_t in_progress = 0;
};

}  // namespace savory
