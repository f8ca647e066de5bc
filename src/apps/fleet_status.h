// Reads the status of many processes from their operator ports.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace savory {

// Content of GET /status of one process.
struct NodeStatus {
  std::string address = {};  // IP:PORT of the operator port
  bool answered = false;
  std::string vm = {};  // the address when the process did not answer
  std::string role = {};
  std::string region = {};
  std::string data_centre = {};
  std::string service = {};
  std::uint64_t tables_revision = 0;
  bool leaving = false;
  bool ready = false;
  std::uint64_t members = 0;
  std::string phase = {};  // agents: phase of the rollout
  std::string wanted = {};
  std::string serving = {};
  std::uint64_t bytes = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t origin_bytes = 0;
  std::string detail = {};
};

// Reads the status at all `addresses`, several at a time. A process that does not answer within
// `timeout` has `answered` false. The result has the order of `addresses`.
std::vector<NodeStatus> ReadFleetStatus(const std::vector<std::string>& addresses,
                                        Duration timeout);

// Returns the addresses in the field `operator` of the platform's VM list. Errors: kUnavailable,
// kTimeout, kMalformed.
Result<std::vector<std::string>> ReadOperatorAddresses(const std::string& vm_list,
                                                       Duration timeout);

}  // namespace savory
