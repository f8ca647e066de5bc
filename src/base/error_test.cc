#include "base/error.h"

#include <gtest/gtest.h>

#include <set>

namespace savory {
namespace {

// Guards against an error kind without a row, and against two rows with the same name.
TEST(ErrorTest, TableCoversEveryKindOnce) {
  std::set<std::string_view> names;
  std::size_t index = 0;
  for (const ErrorAnswer& row : ErrorAnswers()) {
    EXPECT_EQ(static_cast<std::size_t>(row.kind), index++);
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
  }
  EXPECT_EQ(index, static_cast<std::size_t>(ErrorKind::kCancelled) + 1);
}

// Guards against reporting "not run" for an error after which the request may have run.
TEST(ErrorTest, UncertainKindsAreNeverNotRun) {
  for (const ErrorKind kind :
       {ErrorKind::kOutcomeUnknown, ErrorKind::kAnswerBroken, ErrorKind::kTimeout,
        ErrorKind::kWriteOutcomeUnknown, ErrorKind::kCancelled}) {
    EXPECT_EQ(AnswerFor(kind).outcome, RunOutcome::kOutcomeUnknown);
  }
}

}  // namespace
}  // namespace savory
