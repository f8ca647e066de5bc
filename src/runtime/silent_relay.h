// TCP relay that can stop forwarding on its open connections, for tests and experiments.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
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

  // `share` of the open connections, chosen by `seed`, fall silent.
  void Silence(double share = 1, std::uint64_t seed = 0);

 private:
  void AcceptConnections();
  void ForwardConnection(int client_fd, int target_fd, std::size_t number,
                         int generation_at_open) const;
  bool IsChosen(std::size_t number) const;

  std::string target;
  int listener;
  std::atomic<int> generation = 0;
  std::atomic<double> share = 1;
  std::atomic<std::uint64_t> seed = 0;
  std::atomic<bool> stopping = false;
  std::thread acceptor;
};

}  // namespace savory
