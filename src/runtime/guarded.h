// Callbacks that do nothing once the object that they use is destroyed.
#pragma once

#include <memory>
#include <utility>

namespace savory {

// Base of a class whose objects are held by std::shared_ptr.
template <typename Derived>
struct GuardedCallbacks : std::enable_shared_from_this<Derived> {
  // Wraps `callback` so that it does nothing once the object is gone, and keeps the object alive
  // while it runs.
  template <typename Callback>
  auto Guarded(Callback callback) {
    return [weak = this->weak_from_this(), callback = std::move(callback)](auto&&... args) {
      if (const auto self = weak.lock()) callback(std::forward<decltype(args)>(args)...);
    };
  }
};

}  // namespace savory
