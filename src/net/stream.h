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

  // Appends the available bytes to `out`. Returns false at the end of the stream, on errors, at the
  // deadline (steady time, s) or when the scope is cancelled.
  // If `wait_first` is true, waits until the stream is readable before the first read; for callers
  // that expect no data yet, so that reading at once would be a wasted system call.
  async::Task<bool> Read(async::Scope& scope, std::string& out, double deadline,
                         bool wait_first = false);
  // Writes all of `data`. Returns false in the same cases as Read().
  async::Task<bool> Write(async::Scope& scope, std::string_view data, double deadline);
  // Closes the stream in both directions; a pending Read() returns at once.
  void Shutdown();
  // True if the peer has closed the stream and all that it sent has been read.
  bool PeerClosed() const;
  // True if an idle stream can't be reused: the peer closed it, or sent data without a request.
  bool Stale() const;

  // Returns std::nullopt on failure. In that case `error`, if not null, is set to the errno value
  // of the failure, if one is known.
  static async::Task<std::optional<Stream>> Connect(async::Scope& scope, const sockaddr_in& to,
                                                    double deadline, int* error = nullptr);

 private:
  Fd fd_;
};

class Listener {
 public:
  // Returns std::nullopt and sets `error` if the address can't be listened on.
  static std::optional<Listener> Open(const sockaddr_in& at, std::string* error);
  // Returns std::nullopt when the scope is cancelled or the process is currently out of sockets.
  async::Task<std::optional<Stream>> Accept(async::Scope& scope);

 private:
  explicit Listener(Fd fd) : fd_(std::move(fd)) {}
  Fd fd_;
};

}  // namespace hallpier::net
