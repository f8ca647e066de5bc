// Status of many processes, read from their operator ports.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace savory {

// GET /status of one process.
struct NodeStatus {
  std::string address = {};  // IP:PORT of the operator port
  bool answered = false;
  std::string vm = {};  // the address when it did not answer
  std::string role = {};
  std::string region = {};
  std::string data_centre = {};
  std::string service = {};
  std::uint64_t tables_revision = 0;
  bool leaving = false;
  bool ready = false;
  std::uint64_t members = 0;
  std::string phase = {};  // agents: of the rollout
  std::string wanted = {};
  std::string serving = {};
  std::uint64_t bytes = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t origin_bytes = 0;
  std::string detail = {};
};

// Reads all `addresses`, several at a time, each within `timeout`; in the order of `addresses`.
std::vector<NodeStatus> ReadFleetStatus(const std::vector<std::string>& addresses,
                                        Duration timeout);

// Operator addresses from the field `operator` of the platform's VM list. Errors: kUnavailable,
// kTimeout, kMalformed.
Result<std::vector<std::string>> ReadOperatorAddresses(const std::string& vm_list,
                                                       Duration timeout);

}  // namespace savory
