// The runtime of one daemon and its operator port.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "apps/process_settings.h"
#include "runtime/node.h"

namespace savory {

class HttpServer;
class MembershipDriver;
class TableDriver;

// Owns the event loop and everything that the drivers share.
class ProcessHost {
 public:
  explicit ProcessHost(const ProcessSettings& settings);
  ~ProcessHost();

  Node& SharedNode();
  // Operator port; add handlers before Run().
  HttpServer& OperatorServer();

  // Runs `ask` on the loop's thread and waits for its result; for handlers of the operator port.
  // Returns an empty text when the loop does not answer within one second.
  std::string RunOnLoop(std::function<std::string()> callback);

  // Decides the answer of /readyz; runs on the loop's thread.
  void SetReadyCheck(std::function<bool()> ready);
  // `drain` runs once at SIGTERM or SIGINT and calls its argument when nothing is in progress.
  void OnStop(std::function<void(std::function<void()> done)> drain);

  // Passes the member list to the tables and the revision to the member list.
  void Connect(MembershipDriver& members, TableDriver& tables);

  // Serves until a signal has come and the drain is complete, then ends the process with status 0.
  [[noreturn]] void Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
