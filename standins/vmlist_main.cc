// standin-vmlist: stand-in for the platform's lagging list of VMs.
#include <deque>
#include <mutex>

#include "base/time.h"
#include "standins/standin_options.h"
#include "standins/standin_server.h"

namespace savory::standins {
namespace {

// Shows each list `lag_ms` after it was set.
class LaggingList {
 public:
  explicit LaggingList(int lag_ms) : lag(std::chrono::milliseconds(lag_ms)) {}

  void Set(nlohmann::json list) {
    const std::lock_guard lock(this->mutex);
    this->pending.push_back({.at = MonotonicClock::now() + this->lag, .list = std::move(list)});
  }

  nlohmann::json Current() {
    const std::lock_guard lock(this->mutex);
    const Instant now = MonotonicClock::now();
    while (!this->pending.empty() && this->pending.front().at <= now) {
      this->shown = std::move(this->pending.front().list);
      this->pending.pop_front();
    }
    return this->shown;
  }

 private:
  struct Change {
    Instant at;
    nlohmann::json list;
  };

  Duration lag;
  std::mutex mutex;
  nlohmann::json shown = nlohmann::json::array();
  std::deque<Change> pending;
};

}  // namespace
}  // namespace savory::standins

int main(int argc, char** argv) {
  using savory::standins::ReplyJson;
  using savory::standins::StandinServer;
  StandinServer::BlockStopSignals();
  int lag_ms = 0;
  savory::standins::StandinOptions options("standin-vmlist", "list of live VMs for tests");
  options.Add("lag-ms", lag_ms, "time until a change is shown, in milliseconds");
  options.ParseOrExit(argc, argv);

  savory::standins::LaggingList list(lag_ms);
  std::atomic<bool> outage = false;
  StandinServer server(options.Listen());
  server.Get("/vms", [&](const httplib::Request&, httplib::Response& response) {
    if (outage) return ReplyJson(response, {{"error", "outage"}}, 503);
    ReplyJson(response, list.Current());
  });
  server.Put("/admin/vms", [&](const httplib::Request& request, httplib::Response& response) {
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_array()) return ReplyJson(response, {{"error", "not a JSON array"}}, 400);
    list.Set(std::move(body));
    ReplyJson(response, nlohmann::json::object());
  });
  server.Post("/admin/fault", [&](const httplib::Request& request, httplib::Response& response) {
    const nlohmann::json change = savory::standins::ParseJsonBody(request, response);
    if (change.is_discarded()) return;
    outage = change.value("outage", outage.load());
    ReplyJson(response, {{"outage", outage.load()}});
  });
  server.ServeUntilSignal();
}
