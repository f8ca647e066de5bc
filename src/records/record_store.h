// Interface to the platform's key-value store, as far as the product uses it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "records/record_mirror.h"

namespace savory {

// Each call invokes its callback exactly once, on the event loop's thread. Errors: kUnavailable
// (the store refuses the call or cannot be reached), kTimeout, kNotFound (Watch: the store no
// longer has the history after `after`), kMalformed. An update names the era of its answer.
class RecordStore {
 public:
  using Callback = std::function<void(Result<RecordUpdate>)>;

  virtual ~RecordStore() = default;
  // Reads every record whose key begins with `prefix`; the result has `full` set.
  virtual void List(const std::string& prefix, Callback done) = 0;
  // Waits up to `wait` for changes after revision `after` to keys that begin with `prefix`.
  virtual void Watch(const std::string& prefix, std::uint64_t after, Duration wait,
                     Callback done) = 0;
  // Writes a record that the store removes after `lifetime`. Errors: as above; kTimeout means that
  // it may have been written. The result is the era of the store that wrote it: the
  // store loses the record if it comes back, in a later era, from an older copy.
  virtual void Put(const std::string& key, const std::string& value, Duration lifetime,
                   std::function<void(Result<std::uint64_t>)> done) = 0;
};

}  // namespace savory
