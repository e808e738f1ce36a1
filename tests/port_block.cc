#include "port_block.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

#include "net/address.h"

namespace hallpier::testing_support {
namespace {

// Below the ephemeral ports of outgoing connections (ip_local_port_range).
constexpr int kLowestPort = 10000;
constexpr int kBlockCount = 170;

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

// Returns true if the port is free: listen() fails if another socket is bound to it or listens on
// it.
bool CanListen(int port) {
  const net::Fd fd = Bind(port, Sharing::kReusable);
  return fd && listen(fd.get(), 1) == 0;
}

}  // namespace

const PortBlock& PortBlock::OfProcess() {
  // Processes start the search at different offsets, so that they rarely try the same block.
  static const PortBlock kBlock(getpid());
  return kBlock;
}

PortBlock::PortBlock(int offset) {
  for (int i = 0; i < kBlockCount; ++i) {
    if (TryReserve(kLowestPort + (offset + i) % kBlockCount * kPorts)) return;
  }
  RequireStarted(false, "reserving a block of ports", "no block is free");
}

bool PortBlock::TryReserve(int first) {
  net::Fd lock = Bind(first + kPorts - 1, Sharing::kExclusive);
  if (!lock) return false;
  std::vector<net::Fd> bound_ports;
  for (int port = first; port < first + kPorts - 1; ++port) {
    if (!CanListen(port)) return false;
    bound_ports.push_back(Bind(port, Sharing::kReusable));
    if (!bound_ports.back()) return false;
  }
  first_ = first;
  lock_ = std::move(lock);
  bound_ports_ = std::move(bound_ports);
  return true;
}

void RequireStarted(bool started, const std::string& step, const std::string& error) {
  if (started) return;
  ADD_FAILURE() << step << ": " << error;
  std::fflush(nullptr);
  std::_Exit(EXIT_FAILURE);
}

}  // namespace hallpier::testing_support
