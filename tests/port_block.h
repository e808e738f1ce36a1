// Reserves loopback ports for this process during its lifetime.
#pragma once

#include <string>
#include <vector>

#include "net/stream.h"

namespace hallpier::testing_support {

// Holds a block of consecutive ports that were free when it was reserved. They stay bound, so that
// no other program, concurrent test run or outgoing connection can use them. Servers of this
// process and its children can still listen on them, since they set SO_REUSEADDR.
class PortBlock {
 public:
  static constexpr int kPorts = 128;

  // Returns the block of this process, which the first call reserves.
  static const PortBlock& OfProcess();

  // Reserves the first free block at or after index `offset`, wrapping around. Exits the process if
  // no block is free.
  explicit PortBlock(int offset);

  int first() const { return first_; }
  // Returns the address of port `n` of the block, counted from 0.
  std::string AddressAt(int n) const { return "127.0.0.1:" + std::to_string(first_ + n); }

 private:
  // Returns true if the block that begins at port `first` was reserved.
  bool TryReserve(int first);

  int first_ = 0;
  // The last port of the block, bound exclusively: it is the lock of the block.
  net::Fd lock_;
  std::vector<net::Fd> bound_ports_;
};

// Fails the test and exits the process, which runs only this test, if `started` is false: the rest
// of the test would only crash. `step` names the part or action that failed.
void RequireStarted(bool started, const std::string& step, const std::string& error);

}  // namespace hallpier::testing_support
