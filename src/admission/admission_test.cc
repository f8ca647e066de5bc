#include "admission/admission.h"

#include <gtest/gtest.h>

#include <span>
#include <vector>

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr const char* kPool = "engines";

class AdmissionTest : public ::testing::Test {
 protected:
  // One quarter of a second of `asked` first attempts of each priority, of which `refused` fail.
  void Pass(std::span<const int> asked, std::span<const int> refused,
            const PoolDemands& others = {}) {
    for (std::size_t i = 0; i < asked.size(); ++i) {
      const int priority = static_cast<int>(i);
      for (int n = 0; n < asked[i]; ++n) this->admission.OnAsked(kPool, priority);
      for (int n = 0; n < refused[i]; ++n) this->admission.OnRefused(kPool, priority);
    }
    this->now += milliseconds(250);
    const PoolDemands* const reports[] = {&others};
    this->admission.Update(reports, this->now);
  }
  void Repeat(int times, std::vector<int> asked, std::vector<int> refused,
              const PoolDemands& others = {}) {
    for (int i = 0; i < times; ++i) this->Pass(asked, refused, others);
  }

  Admission admission;
  Instant now = Instant(std::chrono::seconds(100));
};

// All callers have one priority: they are served as before, however many are refused.
TEST_F(AdmissionTest, OnePriorityIsLeftAlone) {
  this->Repeat(20, {0, 50}, {0, 40});
  EXPECT_EQ(this->admission.Level(kPool), 0);
  EXPECT_TRUE(this->admission.MayTake(kPool, 1, 5));
  EXPECT_EQ(this->admission.AdmittedFraction(), 1);
}

// A burst of the least urgent kind pushes out the most urgent one: room is taken from the least
// urgent kind first, within seconds, but never below its floor, and never while an upstream is
// half empty.
TEST_F(AdmissionTest, BurstOfTheLeastUrgentKindLosesItsRoomFirst) {
  this->Repeat(6, {20, 20, 60}, {6, 0, 0});
  EXPECT_FALSE(this->admission.MayTake(kPool, 2, 1));
  EXPECT_TRUE(this->admission.MayTake(kPool, 2, 0.5));
  EXPECT_TRUE(this->admission.MayTake(kPool, 0, 5));
  int within_floor = 0;
  for (int i = 0; i < 100; ++i) within_floor += this->admission.OnAsked(kPool, 2) ? 1 : 0;
  EXPECT_NEAR(within_floor, 100 * PoolRoomOptions().floor, 1);
  this->Repeat(20, {20, 20, 60}, {6, 0, 0});
  EXPECT_FALSE(this->admission.MayTake(kPool, 1, 1));
}

// The least urgent kind lacks room, no other does: nothing is taken for it.
TEST_F(AdmissionTest, LackOfTheLeastUrgentKindTakesNothing) {
  this->Repeat(20, {20, 20, 60}, {0, 0, 50});
  EXPECT_EQ(this->admission.Level(kPool), 0);
}

// Bursts that come and go: the room is given back slowly, and a lack between the two bounds moves
// nothing, so the kinds do not flap.
TEST_F(AdmissionTest, RoomIsGivenBackSlowly) {
  this->Repeat(8, {40, 0, 60}, {10, 0, 0});
  const double before = this->admission.Level(kPool);
  ASSERT_GT(before, 0.9);
  this->Repeat(8, {40, 0, 60}, {0, 0, 0});
  EXPECT_GT(this->admission.Level(kPool), before - 0.5);
  this->Repeat(60, {40, 0, 60}, {0, 0, 0});
  EXPECT_EQ(this->admission.Level(kPool), 0);
}

// An entry with few urgent requests hears that another one lacks room for many: it lowers the same
// kind and counts for a smaller share of the engines.
TEST_F(AdmissionTest, LackAtAnotherEntryLowersTheSameKindHere) {
  PoolDemands others = {{.pool = kPool}};
  others.front().classes[0] = {.asked = 200, .lacked = 60};
  this->Repeat(8, {0, 0, 40}, {0, 0, 0}, others);
  EXPECT_TRUE(this->admission.IsLimited(kPool, 2));
  EXPECT_LT(this->admission.AdmittedFraction(), 0.6);
  EXPECT_EQ(this->admission.Own().front().classes[0].asked, 0);
}

// The reports of the other entries stop, or the entry with the urgent requests dies: what it lacked
// is forgotten and the room given back.
TEST_F(AdmissionTest, ReportsThatStopGiveTheRoomBack) {
  PoolDemands others = {{.pool = kPool}};
  others.front().classes[0] = {.asked = 200, .lacked = 60};
  this->Repeat(8, {0, 0, 40}, {0, 0, 0}, others);
  ASSERT_TRUE(this->admission.IsLimited(kPool, 2));
  this->Repeat(1, {0, 0, 40}, {0, 0, 0});
  EXPECT_FALSE(this->admission.IsLimited(kPool, 2));
}

// Operators see each change once, and for whom it was.
TEST_F(AdmissionTest, ChangesNameTheLackingClass) {
  this->Repeat(2, {20, 0, 60}, {10, 0, 0});
  const std::vector<AdmissionChange> changes = this->admission.TakeChanges();
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes.front().lacking, 0u);
  EXPECT_TRUE(this->admission.TakeChanges().empty());
}

}  // namespace
}  // namespace savory
