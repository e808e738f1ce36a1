// Non-blocking TCP: connected streams and listeners.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "async/wait.h"

namespace hallpier::net {

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  Fd& operator=(Fd&& o) noexcept {
    std::swap(fd_, o.fd_);
    return *this;
  }
  ~Fd();
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_;
};

class Stream {
 public:
  explicit Stream(Fd fd) : fd_(std::move(fd)) {}

  // Appends what there is to `out`. False at the end of the stream, on errors, at the deadline
  // (steady seconds) or when the scope is cancelled.
  // `later`: nothing is expected to be there yet, so that a try at once would be in vain.
  async::Task<bool> Read(async::Scope& scope, std::string& out, double deadline,
                         bool later = false);
  async::Task<bool> Write(async::Scope& scope, std::string_view data, double deadline);
  // Ends it in both directions; who waits in Read() is told at once.
  void Shutdown();
  // True if the peer has closed it and all that it sent has been read.
  bool Ended() const;
  // True if the peer closed an idle stream, or sent what nobody asked for.
  bool Stale() const;

  // `error`, if given, gets the reason where the other side or the system names one.
  static async::Task<std::optional<Stream>> Connect(async::Scope& scope, const sockaddr_in& to,
                                                    double deadline, int* error = nullptr);

 private:
  Fd fd_;
};

class Listener {
 public:
  static std::optional<Listener> Open(const sockaddr_in& at, std::string* error);
  // Nothing when the scope is cancelled or the process is out of sockets just now.
  async::Task<std::optional<Stream>> Accept(async::Scope& scope);

 private:
  explicit Listener(Fd fd) : fd_(std::move(fd)) {}
  Fd fd_;
};

}  // namespace hallpier::net
