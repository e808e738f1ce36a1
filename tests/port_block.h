// Ports on loopback that belong to this process alone for as long as it lives.
#pragma once

#include <string>
#include <vector>

#include "net/stream.h"

namespace hallpier::testing_support {

// A block of consecutive ports that were free when it was taken, and are kept bound from then on:
// no other program, other run of the tests or outgoing connection can get one of them. Servers of
// this process and its children can listen on them all the same, as they set SO_REUSEADDR.
class PortBlock {
 public:
  static constexpr int kPorts = 128;

  // The block of this process, taken when first asked for.
  static const PortBlock& OfProcess();

  // Looks for a free block from the `offset`-th on. The process ends if there is none.
  explicit PortBlock(int offset);

  int first() const { return first_; }
  // Address of the n-th port.
  std::string AddressAt(int n) const { return "127.0.0.1:" + std::to_string(first_ + n); }

 private:
  // True if the block that begins there could be taken.
  bool Take(int first);

  int first_ = 0;
  // The last port of the block, bound so that nobody else can bind it: whoever has it has the
  // block.
  net::Fd lock_;
  std::vector<net::Fd> kept_;
};

// Ends the process, which is this one test, if something that every test stands on has failed:
// whatever comes after it would only crash.
void RequireStarted(bool started, const std::string& what, const std::string& error);

}  // namespace hallpier::testing_support
