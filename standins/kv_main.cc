// standin-kv: stand-in for the platform's key-value service.
#include "standins/kv_service.h"
#include "standins/standin_options.h"
#include "standins/standin_server.h"

namespace savory::standins {
namespace {

// A caller without an answer is disconnected after this time.
constexpr int kMaxHoldMs = 120'000;

HttpRequest ToHttpRequest(const httplib::Request& request) {
  return HttpRequest{.method = request.method,
                     .path = request.path,
                     .target = request.target,
                     .headers = HttpHeaders(request.headers.begin(), request.headers.end()),
                     .query = std::multimap<std::string, std::string>(request.params.begin(),
                                                                      request.params.end()),
                     .body = request.body};
}

void SendAnswer(const KvAnswer& answer, httplib::Response& response) {
  if (answer.delivery == Delivery::kClose) {
    StandinServer::DropConnection();
    return;
  }
  if (answer.delivery == Delivery::kNeverAnswer) {
    StandinServer::NeverAnswer(kMaxHoldMs);
    return;
  }
  response.status = answer.reply.status;
  for (const auto& [name, value] : answer.reply.headers) response.set_header(name, value);
  response.set_content(answer.reply.body, answer.reply.content_type);
}

void Mount(StandinServer& server, KvService& service) {
  const auto call = [&service](const httplib::Request& request, httplib::Response& response) {
    SendAnswer(service.Handle(ToHttpRequest(request)), response);
  };
  server.Get("/kv/.+", call);
  server.Put("/kv/.+", call);
  server.Post("/lease/.+", call);
  server.Put("/lease/.+", call);
  server.Delete("/lease/.+", call);
  server.Get("/admin/stats", [&service](const httplib::Request&, httplib::Response& response) {
    ReplyJson(response, service.Stats());
  });
  server.Post("/admin/fault",
              [&service](const httplib::Request& request, httplib::Response& response) {
                const nlohmann::json change = ParseJsonBody(request, response);
                if (!change.is_discarded()) ReplyJson(response, service.SetFaults(change));
              });
}

}  // namespace
}  // namespace savory::standins

int main(int argc, char** argv) {
  using savory::standins::StandinServer;
  StandinServer::BlockStopSignals();
  savory::standins::StandinOptions options("standin-kv", "key-value service for tests");
  options.ParseOrExit(argc, argv);
  savory::standins::KvService service;
  StandinServer server(options.Listen());
  savory::standins::Mount(server, service);
  server.ServeUntilSignal();
}
