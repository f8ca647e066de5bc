// Identity of one attempt to run a request.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace savory {

// Unique across the fleet: an incarnation of an entry never uses a `sequence` twice.
struct AttemptKey {
  std::string entry_vm;
  std::uint64_t entry_incarnation = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const AttemptKey&) const = default;

  // "VM/INCARNATION/SEQUENCE".
  std::string Text() const {
    return this->entry_vm + "/" + std::to_string(this->entry_incarnation) + "/" +
           std::to_string(this->sequence);
  }
};

}  // namespace savory
