// Command line of savoryrouterctl.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace savory {

struct CtlOptions {
  std::string command;
  std::vector<std::string> arguments;
  std::string kv;                      // IP:PORT
  std::vector<std::string> operators;  // IP:PORT of operator ports
  std::string vm_list;                 // IP:PORT
  std::string author;
  std::string name;                    // name of the weights at the origin
  std::string out;                     // output file for the manifest
  std::uint32_t chunk_size = 1 << 20;  // bytes
  std::uint32_t limit = 20;            // revisions printed by `history`
  std::string key;                     // explain: API key; "-": a line of standard input
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  std::uint32_t upstreams = 20;  // explain: described for each pool
  bool returned = false;         // explain: the caller was refused before
  Duration timeout = std::chrono::seconds(10);
  bool json = false;
  bool wait = false;
  bool replace = false;
};

// Parses the command line; --help and --version print and return nullopt.
// Errors: kInvalidSettings.
Result<std::optional<CtlOptions>> ParseCtlOptions(int argc, const char* const* argv);

// Errors: kInvalidSettings when the number of arguments is below `min_count` or above `max_count`.
Result<void> RequireArguments(const CtlOptions& options, std::size_t min_count,
                              std::size_t max_count);
// Errors: kInvalidSettings when --kv is missing.
Result<void> RequireKvAddress(const CtlOptions& options);

}  // namespace savory
