#include "port_block.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

#include "net/address.h"

namespace hallpier::testing_support {
namespace {

// Below the ports that the system gives to outgoing connections (ip_local_port_range).
constexpr int kLowestPort = 10000;
constexpr int kBlocks = 170;

enum class Sharing { kExclusive, kReusable };

net::Fd Bind(int port, Sharing sharing) {
  net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!fd) return net::Fd();
  int one = 1;
  if (sharing == Sharing::kReusable) {
    setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  }
  const auto address = net::ParseAddress("127.0.0.1:" + std::to_string(port));
  if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) != 0) {
    return net::Fd();
  }
  return fd;
}

// Free now: a socket that listens is refused on a port that somebody else has bound or listens on.
bool CanListen(int port) {
  const net::Fd fd = Bind(port, Sharing::kReusable);
  return fd && listen(fd.get(), 1) == 0;
}

}  // namespace

const PortBlock& PortBlock::OfProcess() {
  // Where processes begin to look differs, so that they seldom ask for the same block.
  static const PortBlock kBlock(getpid());
  return kBlock;
}

PortBlock::PortBlock(int offset) {
  for (int i = 0; i < kBlocks; ++i) {
    if (Take(kLowestPort + (offset + i) % kBlocks * kPorts)) return;
  }
  RequireStarted(false, "taking a block of ports", "none is free");
}

bool PortBlock::Take(int first) {
  net::Fd lock = Bind(first + kPorts - 1, Sharing::kExclusive);
  if (!lock) return false;
  std::vector<net::Fd> kept;
  for (int port = first; port < first + kPorts - 1; ++port) {
    if (!CanListen(port)) return false;
    kept.push_back(Bind(port, Sharing::kReusable));
    if (!kept.back()) return false;
  }
  first_ = first;
  lock_ = std::move(lock);
  kept_ = std::move(kept);
  return true;
}

void RequireStarted(bool started, const std::string& what, const std::string& error) {
  if (started) return;
  ADD_FAILURE() << what << ": " << error;
  std::fflush(nullptr);
  std::_Exit(EXIT_FAILURE);
}

}  // namespace hallpier::testing_support
