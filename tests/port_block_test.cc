// Tests the reservation of ports for tests (port_block.h).
#include "port_block.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include "net/address.h"

namespace hallpier::testing_support {
namespace {

constexpr int kOffset = 3;

// Returns true if a socket without SO_REUSEADDR, as of another program, can bind the address.
bool CanBindExclusively(const std::string& address) {
  const net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const auto socket_address = net::ParseAddress(address);
  return bind(fd.get(), reinterpret_cast<const sockaddr*>(&*socket_address),
              sizeof(*socket_address)) == 0;
}

TEST(PortBlock, ServersOfThisProcessCanListenOnEveryPort) {
  const PortBlock block(kOffset);
  for (int n = 0; n < PortBlock::kPorts - 1; ++n) {
    std::string error;
    EXPECT_TRUE(net::Listener::Open(*net::ParseAddress(block.AddressAt(n)), &error)) << n << error;
  }
}

TEST(PortBlock, OtherProgramsCannotBindAPort) {
  const PortBlock block(kOffset);
  for (int n = 0; n < PortBlock::kPorts; ++n)
    EXPECT_FALSE(CanBindExclusively(block.AddressAt(n))) << n;
}

// Guards against two processes that use the same ports: a process uses its id as the offset, and
// ids that differ by a multiple of the number of blocks start the search at the same block.
TEST(PortBlock, SameOffsetGivesDistinctBlocks) {
  const PortBlock one(kOffset), other(kOffset);
  EXPECT_GE(std::abs(one.first() - other.first()), PortBlock::kPorts);
}

TEST(PortBlock, SkipsABlockWithAPortInUse) {
  std::string used;
  int first = 0;
  {
    const PortBlock block(kOffset);
    first = block.first();
    used = block.AddressAt(PortBlock::kPorts / 2);
  }
  std::string error;
  auto listener = net::Listener::Open(*net::ParseAddress(used), &error);
  ASSERT_TRUE(listener) << error;
  const PortBlock block(kOffset);
  EXPECT_NE(block.first(), first);
}

}  // namespace
}  // namespace hallpier::testing_support
