// Address and location of a process that replicates the tables.
#pragma once

#include <string>

namespace savory {

struct TablePeer {
  std::string vm;
  std::string peer;  // IP:PORT
  std::string data_centre;
};

}  // namespace savory
