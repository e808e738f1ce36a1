// The ports that tests stand on.
#include "port_block.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include "net/address.h"

namespace hallpier::testing_support {
namespace {

constexpr int kOffset = 3;

// As another program does: without leave for others to share the port.
bool CanBindAlone(const std::string& address) {
  const net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const auto at = net::ParseAddress(address);
  return bind(fd.get(), reinterpret_cast<const sockaddr*>(&*at), sizeof(*at)) == 0;
}

TEST(PortBlock, ServersOfTheProcessCanListenOnEveryPortOfIt) {
  const PortBlock block(kOffset);
  for (int n = 0; n < PortBlock::kPorts - 1; ++n) {
    std::string error;
    EXPECT_TRUE(net::Listener::Open(*net::ParseAddress(block.AddressAt(n)), &error)) << n << error;
  }
}

TEST(PortBlock, NobodyElseCanBindAPortOfIt) {
  const PortBlock block(kOffset);
  for (int n = 0; n < PortBlock::kPorts; ++n) EXPECT_FALSE(CanBindAlone(block.AddressAt(n))) << n;
}

// Processes whose numbers were a certain multiple apart used to share their ports.
TEST(PortBlock, TwoThatLookInTheSamePlaceGetDifferentOnes) {
  const PortBlock one(kOffset), other(kOffset);
  EXPECT_GE(std::abs(one.first() - other.first()), PortBlock::kPorts);
}

TEST(PortBlock, OneWithAPortInUseIsPassedOver) {
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
