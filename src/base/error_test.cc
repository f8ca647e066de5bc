#include "base/error.h"

#include <gtest/gtest.h>

#include <set>

namespace savory {
namespace {

// Guards against a kind that has no row, or two rows with one name.
TEST(ErrorTest, TableCoversEveryKindOnce) {
  std::set<std::string_view> names;
  std::size_t index = 0;
  for (const ErrorAnswer& row : ErrorAnswers()) {
    EXPECT_EQ(static_cast<std::size_t>(row.kind), index++);
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
  }
  EXPECT_EQ(index, static_cast<std::size_t>(ErrorKind::kCancelled) + 1);
}

// Guards against telling a caller "not run" for a kind that does not imply it.
TEST(ErrorTest, UncertainKindsAreNeverNotRun) {
  for (const ErrorKind kind :
       {ErrorKind::kOutcomeUnknown, ErrorKind::kAnswerBroken, ErrorKind::kTimeout,
        ErrorKind::kWriteOutcomeUnknown, ErrorKind::kCancelled}) {
    EXPECT_EQ(AnswerFor(kind).outcome, RunOutcome::kOutcomeUnknown);
  }
}

}  // namespace
}  // namespace savory
