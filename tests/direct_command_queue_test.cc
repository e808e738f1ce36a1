// Which machines get a direct command next (controller/direct_command_queue.h).
#include "controller/direct_command_queue.h"

#include <gtest/gtest.h>

namespace hallpier::controller {
namespace {

TEST(DirectCommandQueue, BoundsTheMachinesAtATime) {
  DirectCommandQueue queue(2);
  EXPECT_TRUE(queue.Request("vm-1"));
  EXPECT_TRUE(queue.Request("vm-2"));
  EXPECT_FALSE(queue.Request("vm-3"));
  EXPECT_EQ(queue.StartNext(), std::nullopt) << "there is no room";
  queue.Finish("vm-1");
  EXPECT_EQ(queue.StartNext(), "vm-3");
  EXPECT_EQ(queue.StartNext(), std::nullopt);
}

TEST(DirectCommandQueue, ServesMachinesInTheOrderOfTheirRequests) {
  DirectCommandQueue queue(1);
  EXPECT_TRUE(queue.Request("vm-9"));
  EXPECT_FALSE(queue.Request("vm-3"));
  EXPECT_FALSE(queue.Request("vm-1"));
  EXPECT_FALSE(queue.Request("vm-3")) << "waits already, and keeps its place";
  queue.Finish("vm-9");
  EXPECT_EQ(queue.StartNext(), "vm-3");
  queue.Finish("vm-3");
  EXPECT_EQ(queue.StartNext(), "vm-1");
  queue.Finish("vm-1");
  EXPECT_EQ(queue.StartNext(), std::nullopt) << "two requests in the queue are one command";
}

TEST(DirectCommandQueue, RepeatsWhatIsRequestedDuringACommand) {
  DirectCommandQueue queue(1);
  EXPECT_TRUE(queue.Request("vm-1"));
  queue.OnCommandsCollected("vm-1");
  EXPECT_FALSE(queue.NeedsRepeat("vm-1"));
  EXPECT_FALSE(queue.Request("vm-1")) << "one command at a time for each machine";
  EXPECT_TRUE(queue.NeedsRepeat("vm-1"));
  queue.OnCommandsCollected("vm-1");
  EXPECT_FALSE(queue.NeedsRepeat("vm-1"));
}

TEST(DirectCommandQueue, AMachineThatWasServedMeanwhileIsNotServedTwice) {
  DirectCommandQueue queue(1);
  EXPECT_TRUE(queue.Request("vm-1"));
  EXPECT_FALSE(queue.Request("vm-2"));
  queue.Finish("vm-1");
  EXPECT_TRUE(queue.Request("vm-2")) << "there is room before its turn comes";
  queue.OnCommandsCollected("vm-2");
  EXPECT_EQ(queue.StartNext(), std::nullopt);
  queue.Finish("vm-2");
  EXPECT_EQ(queue.StartNext(), std::nullopt);
}

TEST(DirectCommandQueue, AMachineWhoseTurnComesDuringItsCommandIsRepeatedOnly) {
  DirectCommandQueue queue(2);
  EXPECT_TRUE(queue.Request("vm-1"));
  EXPECT_TRUE(queue.Request("vm-2"));
  EXPECT_FALSE(queue.Request("vm-3"));
  queue.Finish("vm-1");
  EXPECT_TRUE(queue.Request("vm-3"));
  queue.OnCommandsCollected("vm-3");
  EXPECT_FALSE(queue.Request("vm-3"));
  queue.Finish("vm-2");
  EXPECT_EQ(queue.StartNext(), std::nullopt) << "its command is under way";
  EXPECT_TRUE(queue.NeedsRepeat("vm-3"));
}

TEST(DirectCommandQueue, ForgetsEverythingWithATerm) {
  DirectCommandQueue queue(1);
  EXPECT_TRUE(queue.Request("vm-1"));
  EXPECT_FALSE(queue.Request("vm-2"));
  queue.Clear();
  EXPECT_EQ(queue.StartNext(), std::nullopt);
  EXPECT_TRUE(queue.Request("vm-1"));
}

}  // namespace
}  // namespace hallpier::controller
