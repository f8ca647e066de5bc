// HTTP server of the stand-ins, with control over connections for fault injection.
#pragma once

#include <httplib.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace savory::standins {

// Uses one thread for each connection and does not poll idle ones, so that hundreds of waiting
// calls cost no processor time.
class StandinServer : public httplib::Server {
 public:
  // `listen`: IP:PORT.
  explicit StandinServer(std::string listen);
  ~StandinServer() override;

  // Serves until SIGTERM or SIGINT, then ends the process with status 0. Exits
  // with status 1 when the address is in use. Call BlockStopSignals() before
  // the first thread is started.
  [[noreturn]] void ServeUntilSignal();
  static void BlockStopSignals();

  // The three functions below may only be called by a handler, for its own connection.
  // Closes the connection; no byte of an answer reaches the caller.
  static void DropConnection();
  // Leaves the caller without an answer until it disconnects or `limit_ms` have passed, then closes
  // the connection.
  static void NeverAnswer(int limit_ms);
  // True when the caller has closed the connection of the running handler.
  static bool CallerDisconnected();

 private:
  struct Impl;

  bool process_and_close_socket(socket_t sock) override;

  std::unique_ptr<Impl> impl;
};

// Answers with `body` as JSON.
void ReplyJson(httplib::Response& response, const nlohmann::json& body, int status = 200);

// Parses the body of a request; answers 400 and returns a discarded value when
// it is not a JSON object.
nlohmann::json ParseJsonBody(const httplib::Request& request, httplib::Response& response);

}  // namespace savory::standins
