// Detects whether the caller of a request is still connected.
#pragma once

#include <string>

namespace savory {

// The socket of one request. The HTTP library does not expose its sockets to handlers, so the first
// check searches the descriptors of the process and later checks reuse the descriptor that it
// found. Not thread-safe.
class CallerSocket {
 public:
  CallerSocket(std::string remote_address, int remote_port, int local_port);

  // False when the caller has closed its connection. The first call makes a system call for each
  // descriptor of the process, so check only requests that have been waiting for a while.
  bool IsConnected();

 private:
  bool Matches(int fd, bool* descriptor_open) const;
  int Search() const;

  std::string remote_address;
  int remote_port;
  int local_port;
  int descriptor = -1;
};

}  // namespace savory
