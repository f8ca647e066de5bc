// Conversion between AttemptKey and its wire form.
#pragma once

#include "base/attempt_key.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

inline wire::AttemptId ToWire(const AttemptKey& key) {
  wire::AttemptId id;
  id.set_entry_vm(key.entry_vm);
  id.set_entry_incarnation(key.entry_incarnation);
  id.set_sequence(key.sequence);
  return id;
}

inline AttemptKey FromWire(const wire::AttemptId& id) {
  return AttemptKey{.entry_vm = id.entry_vm(),
                    .entry_incarnation = id.entry_incarnation(),
                    .sequence = id.sequence()};
}

}  // namespace savory
