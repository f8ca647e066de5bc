#include "routing/answer_queue.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

// Guards against a caller's thread that waits forever, because the end of the answer was not
// accepted by the full queue of a slow caller.
TEST(AnswerQueueTest, FullQueueAcceptsTheEndOfTheAnswer) {
  AnswerQueue queue;
  EXPECT_TRUE(queue.Push(AnswerBytes{.bytes = std::vector<std::byte>(16u << 20)}));
  EXPECT_FALSE(queue.Push(AnswerBytes{.bytes = std::vector<std::byte>(1)}));
  EXPECT_TRUE(queue.Push(AnswerAborted{}));
  EXPECT_TRUE(std::holds_alternative<AnswerBytes>(*queue.Pop(Duration::zero())));
  EXPECT_TRUE(std::holds_alternative<AnswerAborted>(*queue.Pop(Duration::zero())));
  EXPECT_FALSE(queue.Pop(Duration::zero()).has_value());
}

}  // namespace
}  // namespace savory
