#include "net/stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace hallpier::net {
namespace {

// Limit on the bytes of one read, so that a fast peer can't occupy the event loop.
constexpr size_t kReadSize = size_t{64} * 1024;

void SetNoDelay(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

// Behaves like recv() of one byte, but leaves the byte in the socket's buffer.
ssize_t Peek(int fd) {
  char c;
  return recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
}

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

}  // namespace

Fd::~Fd() {
  if (fd_ >= 0) close(fd_);
}

async::Task<bool> Stream::Read(async::Scope& scope, std::string& out, double deadline,
                               bool wait_first) {
  // All coroutines of a thread share this buffer, since it holds no data while a coroutine is
  // suspended. A local variable of the coroutine would take this much memory for every idle
  // connection. Each thread has a separate buffer: when the event loops of two threads shared one,
  // their concurrent reads overwrote each other's data.
  thread_local std::array<char, kReadSize> chunk;
  while (true) {
    if (!wait_first) {
      ssize_t n = recv(fd_.get(), chunk.data(), chunk.size(), 0);
      if (n > 0) {
        out.append(chunk.data(), static_cast<size_t>(n));
        co_return true;
      }
      if (n == 0 || !WouldBlock(errno)) co_return false;
    }
    wait_first = false;
    double remaining_s = deadline - scope.loop().Now();
    if (remaining_s <= 0) co_return false;
    async::FdWait wait(scope, fd_.get(), EV_READ, remaining_s);
    async::WaitResult wake = co_await wait;
    if (wake != async::WaitResult::kReady) co_return false;
  }
}

async::Task<bool> Stream::Write(async::Scope& scope, std::string_view data, double deadline) {
  while (!data.empty()) {
    ssize_t n = send(fd_.get(), data.data(), data.size(), MSG_NOSIGNAL);
    if (n > 0) {
      data.remove_prefix(static_cast<size_t>(n));
      continue;
    }
    if (!WouldBlock(errno)) co_return false;
    double remaining_s = deadline - scope.loop().Now();
    if (remaining_s <= 0) co_return false;
    async::FdWait wait(scope, fd_.get(), EV_WRITE, remaining_s);
    async::WaitResult wake = co_await wait;
    if (wake != async::WaitResult::kReady) co_return false;
  }
  co_return true;
}

void Stream::Shutdown() { shutdown(fd_.get(), SHUT_RDWR); }

bool Stream::PeerClosed() const { return Peek(fd_.get()) == 0; }

bool Stream::Stale() const {
  const ssize_t n = Peek(fd_.get());
  return n >= 0 || !WouldBlock(errno);
}

async::Task<std::optional<Stream>> Stream::Connect(
    async::Scope& scope, const sockaddr_in& to, double deadline,
    // Written through the reference `error_code`.
    // NOLINTNEXTLINE(readability-non-const-parameter)
    int* error) {
  int ignored = 0;
  int& error_code = error == nullptr ? ignored : *error;
  Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) {
    error_code = errno;
    co_return std::nullopt;
  }
  SetNoDelay(fd.get());
  if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    error_code = errno;
    const double remaining_s = deadline - scope.loop().Now();
    if (error_code != EINPROGRESS || remaining_s <= 0) co_return std::nullopt;
    async::FdWait wait(scope, fd.get(), EV_WRITE, remaining_s);
    async::WaitResult wake = co_await wait;
    if (wake != async::WaitResult::kReady) co_return std::nullopt;
    socklen_t size = sizeof(error_code);
    if (getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error_code, &size) != 0 || error_code != 0) {
      co_return std::nullopt;
    }
  }
  co_return Stream(std::move(fd));
}

std::optional<Listener> Listener::Open(const sockaddr_in& at, std::string* error) {
  Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int one = 1;
  if (fd) setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  if (!fd || bind(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(fd.get(), SOMAXCONN) != 0) {
    *error = strerror(errno);
    return std::nullopt;
  }
  return Listener(std::move(fd));
}

async::Task<std::optional<Stream>> Listener::Accept(async::Scope& scope) {
  while (true) {
    int fd = accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      SetNoDelay(fd);
      co_return Stream(Fd(fd));
    }
    if (!WouldBlock(errno)) co_return std::nullopt;
    async::FdWait wait(scope, fd_.get(), EV_READ, -1);
    async::WaitResult wake = co_await wait;
    if (wake != async::WaitResult::kReady) co_return std::nullopt;
  }
}

}  // namespace hallpier::net
