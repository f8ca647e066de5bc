#include "placement/steady_share.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr int kWindow = 20;  // milliseconds

// Guards against a share that counts before it was held for the whole window.
RC_GTEST_PROP(SteadyShareProperty, IsTheLeastShareOfTheWindow, ()) {
  SteadyShare share{milliseconds(kWindow)};
  std::vector<std::uint32_t> history;  // one share a millisecond
  for (int i = 0; i < 200; ++i) {
    const bool stays = !history.empty() && *rc::gen::inRange(0, 10) > 0;
    history.push_back(stays ? history.back() : *rc::gen::inRange<std::uint32_t>(0, 5));
    const Instant now = Instant(milliseconds(1000 + i));
    share.Set(history.back(), now);
    const std::uint32_t expected =
        i < kWindow ? 0 : *std::min_element(history.end() - kWindow - 1, history.end());
    RC_ASSERT(share.Least(now) == expected);
  }
}

}  // namespace
}  // namespace savory
