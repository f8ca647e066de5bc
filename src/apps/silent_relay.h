// TCP relay that can stop forwarding on its open connections.
#pragma once

#include <atomic>
#include <string>
#include <thread>

namespace savory {

// Forwards connections on 127.0.0.1:`port` to `target` (a loopback IP:PORT). After Silence(), the
// connections that are open carry no more bytes but stay open, while new connections work. This
// simulates the platform's fault "open connections go silent permanently".
class SilentRelay {
 public:
  SilentRelay(int port, std::string target);
  ~SilentRelay();

  void Silence() { this->generation.fetch_add(1); }

 private:
  void AcceptConnections();
  void ForwardConnection(int client_fd, int target_fd, int generation_at_open) const;

  std::string target;
  int listener;
  std::atomic<int> generation = 0;
  std::atomic<bool> stopping = false;
  std::thread acceptor;
};

}  // namespace savory
