// What RecordSync needs of the platform's store.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "records/record_mirror.h"

namespace savory {

// Each call ends with exactly one call of its callback, on the loop's thread. Errors: kUnavailable
// (the store refuses or cannot be reached), kTimeout, kNotFound (Watch: the history after `after`
// is gone), kMalformed.
class RecordStore {
 public:
  using Callback = std::function<void(Result<RecordUpdate>)>;

  virtual ~RecordStore() = default;
  // Every record below `prefix`; `whole` is set.
  virtual void List(const std::string& prefix, Callback done) = 0;
  // Waits up to `wait` for changes below `prefix` after revision `after`.
  virtual void Watch(const std::string& prefix, std::uint64_t after, Duration wait,
                     Callback done) = 0;
};

}  // namespace savory
