// Jobs that have waited beyond the operators' bound.
#include "plan/starvation.h"

#include <gtest/gtest.h>

#include "model/job.h"
#include "plan/round.h"
#include "round_fixture.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

class StarvationTest : public RoundFixture {};

// Nothing starves: not the largest job behind a stream of small ones, not a class behind an urgent
// one. Begun work waits for its turn, and the share of the processors is bounded.
TEST_F(StarvationTest, WhatHasWaitedTooLongBeginsWhateverTheOrderSays) {
  auto large = Spec("run-1", 900), urgent = Spec("run-2", 40), small = Spec("run-3", 2);
  urgent.priority = model::Priority::kUrgent;
  operators_.starve_s = 60;
  PutJob(job_table_, large, 50);  // has waited 50 s
  PutJob(job_table_, urgent, 99);
  PutJob(job_table_, small, 99);
  for (const char* vm : {"vm-1", "vm-2"}) AddMachine(vm);
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 0U);
  PutJob(job_table_, large, 39);  // and now 61 s
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 2U) << "a quarter of 8 processors";
  Place(job_table_, "run-1", 0, 1, "vm-9");
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 0U) << "it has begun";
  PutJob(job_table_, large, -21);  // 121 s
  EXPECT_EQ(PlacedOf(Plan(), "run-1"), 1U);
}

}  // namespace
}  // namespace hallpier::plan
