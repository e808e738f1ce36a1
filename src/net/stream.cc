#include "net/stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace hallpier::net {
namespace {

// One read takes no more than this, so that a fast peer can't keep the loop to itself.
constexpr size_t kReadSize = size_t{64} * 1024;

void SetNoDelay(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

// As recv() of one byte that stays where it is.
ssize_t Peek(int fd) {
  char c;
  return recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
}

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

}  // namespace

Fd::~Fd() {
  if (fd_ >= 0) close(fd_);
}

async::Task<bool> Stream::Read(async::Scope& scope, std::string& out, double deadline, bool later) {
  // One for all of a thread's routines: nothing is kept in it while a routine waits. In the routine
  // itself it would make every idle connection as large. Loops of other threads have their own;
  // sharing one mixed up what two of them read at a time.
  thread_local std::array<char, kReadSize> chunk;
  while (true) {
    if (!later) {
      ssize_t n = recv(fd_.get(), chunk.data(), chunk.size(), 0);
      if (n > 0) {
        out.append(chunk.data(), static_cast<size_t>(n));
        co_return true;
      }
      if (n == 0 || !WouldBlock(errno)) co_return false;
    }
    later = false;
    double left = deadline - scope.loop().Now();
    if (left <= 0) co_return false;
    async::FdWait wait(scope, fd_.get(), EV_READ, left);
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
    double left = deadline - scope.loop().Now();
    if (left <= 0) co_return false;
    async::FdWait wait(scope, fd_.get(), EV_WRITE, left);
    async::WaitResult wake = co_await wait;
    if (wake != async::WaitResult::kReady) co_return false;
  }
  co_return true;
}

void Stream::Shutdown() { shutdown(fd_.get(), SHUT_RDWR); }

bool Stream::Ended() const { return Peek(fd_.get()) == 0; }

bool Stream::Stale() const {
  const ssize_t n = Peek(fd_.get());
  return n >= 0 || !WouldBlock(errno);
}

async::Task<std::optional<Stream>> Stream::Connect(
    async::Scope& scope, const sockaddr_in& to, double deadline,
    // Written to by way of `reason`.
    // NOLINTNEXTLINE(readability-non-const-parameter)
    int* error) {
  int ignored = 0;
  int& reason = error == nullptr ? ignored : *error;
  Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) {
    reason = errno;
    co_return std::nullopt;
  }
  SetNoDelay(fd.get());
  if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    reason = errno;
    const double left = deadline - scope.loop().Now();
    if (reason != EINPROGRESS || left <= 0) co_return std::nullopt;
    async::FdWait wait(scope, fd.get(), EV_WRITE, left);
    async::WaitResult wake = co_await wait;
    if (wake != async::WaitResult::kReady) co_return std::nullopt;
    socklen_t size = sizeof(reason);
    if (getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &reason, &size) != 0 || reason != 0) {
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
