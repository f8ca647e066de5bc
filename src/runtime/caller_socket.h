// Finds out whether the caller of a served request is still connected.
#pragma once

#include <string>

namespace savory {

// The connection of one request. The HTTP library does not show its sockets to handlers, so the
// first look searches the process's descriptors and later ones reuse what it found. Not
// thread-safe.
class CallerSocket {
 public:
  CallerSocket(std::string remote_address, int remote_port, int local_port);

  // False when the caller has closed its connection. Call it for requests that have been waiting
  // for a while; the first call costs a system call for each open descriptor.
  bool IsConnected();

 private:
  bool Matches(int fd, bool* open) const;
  int Search() const;

  std::string remote_address;
  int remote_port;
  int local_port;
  int descriptor = -1;
};

}  // namespace savory
