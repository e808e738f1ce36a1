// Tests which machines get a direct command next (controller/direct_command_queue.h).
#include "controller/direct_command_queue.h"

#include <gtest/gtest.h>

namespace hallpier::controller {
namespace {

TEST(DirectCommandQueue, BoundsTheNumberOfActiveMachines) {
  DirectCommandQueue queue(2);
  EXPECT_TRUE(queue.Request("vm-1"));
  EXPECT_TRUE(queue.Request("vm-2"));
  EXPECT_FALSE(queue.Request("vm-3"));
  EXPECT_EQ(queue.StartNext(), std::nullopt) << "the maximum number of machines is active";
  queue.Finish("vm-1");
  EXPECT_EQ(queue.StartNext(), "vm-3");
  EXPECT_EQ(queue.StartNext(), std::nullopt);
}

TEST(DirectCommandQueue, StartsMachinesInRequestOrder) {
  DirectCommandQueue queue(1);
  EXPECT_TRUE(queue.Request("vm-9"));
  EXPECT_FALSE(queue.Request("vm-3"));
  EXPECT_FALSE(queue.Request("vm-1"));
  EXPECT_FALSE(queue.Request("vm-3")) << "already waiting, keeps its position";
  queue.Finish("vm-9");
  EXPECT_EQ(queue.StartNext(), "vm-3");
  queue.Finish("vm-3");
  EXPECT_EQ(queue.StartNext(), "vm-1");
  queue.Finish("vm-1");
  EXPECT_EQ(queue.StartNext(), std::nullopt) << "two queued requests are served by one command";
}

TEST(DirectCommandQueue, NeedsRepeatAfterARequestDuringACommand) {
  DirectCommandQueue queue(1);
  EXPECT_TRUE(queue.Request("vm-1"));
  queue.OnCommandsCollected("vm-1");
  EXPECT_FALSE(queue.NeedsRepeat("vm-1"));
  EXPECT_FALSE(queue.Request("vm-1")) << "at most one command in flight for each machine";
  EXPECT_TRUE(queue.NeedsRepeat("vm-1"));
  queue.OnCommandsCollected("vm-1");
  EXPECT_FALSE(queue.NeedsRepeat("vm-1"));
}

TEST(DirectCommandQueue, SkipsAWaitingMachineThatWasServedMeanwhile) {
  DirectCommandQueue queue(1);
  EXPECT_TRUE(queue.Request("vm-1"));
  EXPECT_FALSE(queue.Request("vm-2"));
  queue.Finish("vm-1");
  EXPECT_TRUE(queue.Request("vm-2")) << "a slot is free before its turn in the queue";
  queue.OnCommandsCollected("vm-2");
  EXPECT_EQ(queue.StartNext(), std::nullopt);
  queue.Finish("vm-2");
  EXPECT_EQ(queue.StartNext(), std::nullopt);
}

TEST(DirectCommandQueue, RepeatsAnActiveMachineInsteadOfStartingItTwice) {
  DirectCommandQueue queue(2);
  EXPECT_TRUE(queue.Request("vm-1"));
  EXPECT_TRUE(queue.Request("vm-2"));
  EXPECT_FALSE(queue.Request("vm-3"));
  queue.Finish("vm-1");
  EXPECT_TRUE(queue.Request("vm-3"));
  queue.OnCommandsCollected("vm-3");
  EXPECT_FALSE(queue.Request("vm-3"));
  queue.Finish("vm-2");
  EXPECT_EQ(queue.StartNext(), std::nullopt) << "its command is in flight";
  EXPECT_TRUE(queue.NeedsRepeat("vm-3"));
}

TEST(DirectCommandQueue, ClearRemovesAllEntries) {
  DirectCommandQueue queue(1);
  EXPECT_TRUE(queue.Request("vm-1"));
  EXPECT_FALSE(queue.Request("vm-2"));
  queue.Clear();  // at the start of a term
  EXPECT_EQ(queue.StartNext(), std::nullopt);
  EXPECT_TRUE(queue.Request("vm-1"));
}

}  // namespace
}  // namespace hallpier::controller
