// A connection on which a server has not finished an answer, or has input left.
#pragma once

#include <cstddef>

namespace savory {

struct HttpHead;

struct UnfinishedConnection {
  const HttpHead* request = nullptr;     // the last one that was read; null if there is none
  bool is_answering = false;             // the handler has not ended its answer
  std::size_t unsent_bytes = 0;          // that the operating system has not accepted
  std::size_t unacknowledged_bytes = 0;  // that it has accepted, and the peer has not
  bool has_unread_input = false;         // closing the connection now resets it
};

}  // namespace savory
