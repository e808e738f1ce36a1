// Stand-ins for the review's cases: a state service, a cloud, workers, users, a TCP proxy, and the
// control of controller processes. Written from the protocol pages alone; threads and blocking
// sockets, loopback only. Single header, one program a case.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Json = rapidjson::Value;
using Doc = rapidjson::Document;

// ---------------------------------------------------------------- time and record

inline double Steady() {
  using namespace std::chrono;
  return duration<double>(steady_clock::now().time_since_epoch()).count();
}
inline const double g_start = Steady();
inline double Now() { return Steady() - g_start; }  // seconds since the case began
inline void SleepS(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

inline std::mutex g_record_mutex;
inline FILE* g_record = nullptr;
inline void OpenRecord(const char* path) { g_record = std::fopen(path, "w"); }
inline void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void Record(const char* format, ...) {
  std::lock_guard lock(g_record_mutex);
  char line[2048];
  va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof(line), format, args);
  va_end(args);
  if (g_record != nullptr) {
    std::fprintf(g_record, "%8.3f %s\n", Now(), line);
    std::fflush(g_record);
  }
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in Loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

inline int Listen(int port, int* bound = nullptr) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in a = Loopback(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof(a)) != 0 || listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  if (bound != nullptr) {
    socklen_t size = sizeof(a);
    getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
    *bound = ntohs(a.sin_port);
  }
  return fd;
}

// A port that was free a moment ago, for processes that bind it themselves.
inline int FreePort() {
  static std::set<int> used;
  static std::mutex mutex;
  std::lock_guard lock(mutex);
  while (true) {
    int port = 0;
    int fd = Listen(0, &port);
    if (fd < 0) continue;
    close(fd);
    if (used.insert(port).second) return port;
  }
}

inline int ConnectTo(int port, double timeout_s) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  sockaddr_in a = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof(a)) != 0) {
    if (errno != EINPROGRESS) {
      close(fd);
      return -1;
    }
    pollfd p{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&p, 1, static_cast<int>(timeout_s * 1000)) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  return fd;
}

inline void ResetAndClose(int fd) {
  linger l{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
  close(fd);
}

inline bool WriteAll(int fd, const std::string& data, double deadline) {
  size_t done = 0;
  while (done < data.size()) {
    ssize_t n = send(fd, data.data() + done, data.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      done += static_cast<size_t>(n);
      continue;
    }
    if (errno != EAGAIN && errno != EINTR) return false;
    double left = deadline - Steady();
    if (left <= 0) return false;
    pollfd p{fd, POLLOUT, 0};
    poll(&p, 1, static_cast<int>(left * 1000) + 1);
  }
  return true;
}

// Reads some bytes. Returns false at the end, on an error or at the deadline.
inline bool ReadSome(int fd, std::string& out, double deadline) {
  char chunk[65536];
  while (true) {
    ssize_t n = recv(fd, chunk, sizeof(chunk), MSG_DONTWAIT);
    if (n > 0) {
      out.append(chunk, static_cast<size_t>(n));
      return true;
    }
    if (n == 0 || (errno != EAGAIN && errno != EINTR)) return false;
    double left = deadline - Steady();
    if (left <= 0) return false;
    pollfd p{fd, POLLIN, 0};
    poll(&p, 1, static_cast<int>(left * 1000) + 1);
  }
}

// ---------------------------------------------------------------- HTTP

struct Request {
  std::string method, target, body;
  std::string Path() const { return target.substr(0, target.find('?')); }
  std::string Query(const std::string& name) const {
    size_t q = target.find('?');
    if (q == std::string::npos) return "";
    std::string rest = "&" + target.substr(q + 1);
    size_t at = rest.find("&" + name + "=");
    if (at == std::string::npos) return "";
    size_t from = at + name.size() + 2;
    std::string raw = rest.substr(from, rest.find('&', from) - from), out;
    for (size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        out.push_back(static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16)));
        i += 2;
      } else {
        out.push_back(raw[i]);
      }
    }
    return out;
  }
};
struct Response {
  int status = 0;  // 0: no answer; the connection is closed
  std::string body;
};

// Reads one message. `first_line` receives the start line; returns false at the end of the stream.
inline bool ReadMessage(int fd, std::string& buffer, std::string& first_line, std::string& body,
                        bool& keep, double deadline) {
  size_t end;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadSome(fd, buffer, deadline)) return false;
  }
  std::string head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  first_line = head.substr(0, head.find("\r\n"));
  size_t length = 0;
  std::string lower;
  for (char c : head) lower.push_back(static_cast<char>(tolower(c)));
  if (size_t at = lower.find("\r\ncontent-length:"); at != std::string::npos) {
    length = std::strtoul(lower.c_str() + at + 17, nullptr, 10);
  }
  keep = lower.find("connection: close") == std::string::npos;
  while (buffer.size() < length) {
    if (!ReadSome(fd, buffer, deadline)) return false;
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

class HttpServer {
 public:
  using Handler = std::function<Response(const Request&)>;
  explicit HttpServer(Handler handler, int port = 0) : handler_(std::move(handler)) {
    fd_ = standin::Listen(port, &port_);
    if (fd_ < 0) return;
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return port_; }
  bool ok() const { return fd_ >= 0; }

 private:
  void Accept() {
    while (true) {
      int c = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (c < 0) {
        SleepS(0.01);
        continue;
      }
      int one = 1;
      setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([this, c] { Serve(c); }).detach();
    }
  }
  void Serve(int c) {
    std::string buffer, line, body;
    bool keep = true;
    while (keep && ReadMessage(c, buffer, line, body, keep, Steady() + 600)) {
      Request request;
      size_t a = line.find(' '), b = line.find(' ', a + 1);
      if (a == std::string::npos || b == std::string::npos) break;
      request.method = line.substr(0, a);
      request.target = line.substr(a + 1, b - a - 1);
      request.body = std::move(body);
      Response r = handler_(request);
      if (r.status == 0) break;
      std::string out = "HTTP/1.1 " + std::to_string(r.status) +
                        " X\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(r.body.size()) + "\r\n\r\n" + r.body;
      if (!WriteAll(c, out, Steady() + 10)) break;
    }
    close(c);
  }
  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
};

// One request on a connection of its own. status 0: no answer.
inline Response Call(int port, const std::string& method, const std::string& target,
                     const std::string& body, double timeout_s) {
  const double deadline = Steady() + timeout_s;
  Response out;
  int fd = ConnectTo(port, timeout_s);
  if (fd < 0) return out;
  std::string bytes = method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  if (method == "POST")
    bytes += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
             "\r\n";
  bytes += "\r\n" + body;
  std::string buffer, line, answer;
  bool keep = true;
  if (WriteAll(fd, bytes, deadline) && ReadMessage(fd, buffer, line, answer, keep, deadline) &&
      line.size() > 12) {
    out.status = std::atoi(line.c_str() + 9);
    out.body = std::move(answer);
  }
  close(fd);
  return out;
}

inline std::string Dump(const Json& v) {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  v.Accept(w);
  return {b.GetString(), b.GetSize()};
}
inline std::string Text(const Json& o, const char* name) {
  return o.IsObject() && o.HasMember(name) && o[name].IsString() ? o[name].GetString() : "";
}
inline uint64_t Count(const Json& o, const char* name) {
  return o.IsObject() && o.HasMember(name) && o[name].IsUint64() ? o[name].GetUint64() : 0;
}
inline double Amount(const Json& o, const char* name) {
  return o.IsObject() && o.HasMember(name) && o[name].IsNumber() ? o[name].GetDouble() : 0;
}
inline std::string Quote(const std::string& s) { return "\"" + s + "\""; }

// ---------------------------------------------------------------- TCP proxy

// Forwards connections to a port. While cut, open connections are reset and new ones get no answer.
class Proxy {
 public:
  explicit Proxy(int target) : target_(target) {
    fd_ = Listen(0, &port_);
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return port_; }
  void Cut(bool cut) { cut_ = cut; }

 private:
  void Accept() {
    while (true) {
      int c = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (c < 0) continue;
      std::thread([this, c] { Serve(c); }).detach();
    }
  }
  void Serve(int c) {
    int t = -1;
    if (cut_) {
      while (cut_) SleepS(0.02);
      ResetAndClose(c);
      return;
    }
    t = ConnectTo(target_, 1);
    if (t < 0) {
      ResetAndClose(c);
      return;
    }
    fcntl(t, F_SETFL, fcntl(t, F_GETFL) & ~O_NONBLOCK);
    int one = 1;
    setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    pollfd p[2] = {{c, POLLIN, 0}, {t, POLLIN, 0}};
    char chunk[65536];
    bool open = true;
    while (open && !cut_) {
      if (poll(p, 2, 20) <= 0) continue;
      for (int i = 0; i < 2 && open; ++i) {
        if ((p[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
        ssize_t n = recv(p[i].fd, chunk, sizeof(chunk), 0);
        if (n <= 0) {
          open = false;
          break;
        }
        if (cut_) break;
        open = WriteAll(p[1 - i].fd, std::string(chunk, static_cast<size_t>(n)), Steady() + 5);
      }
    }
    if (cut_) {
      ResetAndClose(c);
      ResetAndClose(t);
    } else {
      close(c);
      close(t);
    }
  }
  int target_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> cut_{false};
};

// ---------------------------------------------------------------- state service

class StateService {
 public:
  struct Limits {
    double rps = 150, write_rps = 25, value_kb = 8;
    size_t txn_ops = 8;
  };
  explicit StateService(Limits limits)
      : limits_(limits), server_([this](const Request& r) { return Handle(r); }) {
    std::thread([this] { Expire(); }).detach();
  }
  int port() const { return server_.port(); }
  // While set, every request gets 503; open watches wait, and no lease ends.
  void SetOutage(bool outage) {
    std::lock_guard lock(mutex_);
    outage_ = outage;
    if (!outage)
      for (auto& [permit, hold] : holds_) hold.ends = Steady() + hold.ttl;
    changed_.notify_all();
  }
  // Share of transactions that get no answer; they are carried out at once, or 2 to 12 s late.
  std::atomic<double> lost_share{0};
  std::atomic<bool> lost_late{false};
  // Value of a key as JSON; empty if there is none.
  std::string Value(const std::string& key) {
    std::lock_guard lock(mutex_);
    auto it = entries_.find(key);
    return it == entries_.end() ? "" : it->second.data;
  }

 private:
  struct Entry {
    std::string data;
    uint64_t stamp = 0, permit = 0;
  };
  struct Change {
    std::string key, data;  // data empty: dropped
    uint64_t stamp;
  };
  struct Hold {
    double ttl, ends;
  };
  static std::string Rev(uint64_t rev) { return "{\"rev\":" + std::to_string(rev) + "}"; }

  bool Take(double& tokens, double& at, double rate, double cost) {
    const double now = Steady();
    tokens = std::min(rate, tokens + (now - at) * rate);
    at = now;
    if (tokens < cost) return false;
    tokens -= cost;
    return true;
  }
  void Put(const std::string& key, const std::string& data, uint64_t permit) {
    if (data.empty()) {
      if (entries_.erase(key) == 0) return;
    } else {
      entries_[key] = {data, rev_, permit};
    }
    changes_.push_back({key, data, rev_});
    if (changes_.size() > 10000) {
      oldest_ = changes_.front().stamp;
      changes_.pop_front();
    }
  }
  void EndHold(uint64_t permit) {
    holds_.erase(permit);
    std::vector<std::string> keys;
    for (auto& [key, entry] : entries_)
      if (entry.permit == permit) keys.push_back(key);
    if (keys.empty()) return;
    ++rev_;
    for (auto& key : keys) Put(key, "", 0);
    changed_.notify_all();
  }
  void Expire() {
    while (true) {
      SleepS(0.02);
      std::lock_guard lock(mutex_);
      if (outage_) continue;
      std::vector<uint64_t> ended;
      for (auto& [permit, hold] : holds_)
        if (Steady() > hold.ends) ended.push_back(permit);
      for (uint64_t permit : ended) EndHold(permit);
    }
  }
  Response Follow(const Request& r) {
    std::unique_lock lock(mutex_);
    const std::string prefix = r.Query("starts");
    const uint64_t from = std::strtoull(r.Query("from").c_str(), nullptr, 10);
    const double until = Steady() + std::strtod(r.Query("blockMs").c_str(), nullptr) / 1000;
    while (true) {
      if (from < oldest_) return {410, "{}"};
      std::string news;
      for (auto it = changes_.rbegin(); it != changes_.rend() && it->stamp > from; ++it) {
        if (it->key.compare(0, prefix.size(), prefix) != 0) continue;
        std::string one =
            it->data.empty()
                ? "{\"drop\":" + Quote(it->key)
                : "{\"put\":" + Quote(it->key) + ",\"data\":" + it->data;
        one += ",\"stamp\":" + std::to_string(it->stamp) + "}";
        news = news.empty() ? one : one + "," + news;
      }
      const double left = until - Steady();
      if (!outage_ && (!news.empty() || left <= 0)) {
        return {200, "{\"rev\":" + std::to_string(rev_) + ",\"news\":[" + news + "]}"};
      }
      changed_.wait_for(lock, std::chrono::duration<double>(std::max(left, 0.05)));
    }
  }
  Response Commit(const std::string& body) {
    Doc d;
    d.Parse(body.c_str(), body.size());
    if (d.HasParseError() || !d.IsObject() || body.size() > 65536) return {400, "{}"};
    static const Doc kNone(rapidjson::kArrayType);
    const Json& guards = d.HasMember("guards") ? d["guards"] : static_cast<const Json&>(kNone);
    const Json& then = d.HasMember("then") ? d["then"] : static_cast<const Json&>(kNone);
    if (then.Size() > limits_.txn_ops || guards.Size() > 4 * limits_.txn_ops) return {400, "{}"};
    std::lock_guard lock(mutex_);
    if (!Take(write_tokens_, write_at_, limits_.write_rps, then.Size())) return {429, "{}"};
    std::vector<std::string> data;
    for (auto& w : then.GetArray()) {
      data.push_back(w.HasMember("put") ? Dump(w["data"]) : "");
      if (data.back().size() > limits_.value_kb * 1024) return {400, "{}"};
    }
    std::string failed;
    for (auto& g : guards.GetArray()) {
      auto it = entries_.find(Text(g, "key"));
      const uint64_t stamp = it == entries_.end() ? 0 : it->second.stamp;
      if (stamp != Count(g, "stamp")) failed += (failed.empty() ? "" : ",") + Quote(Text(g, "key"));
    }
    if (!failed.empty())
      return {409, "{\"failed\":[" + failed + "],\"rev\":" + std::to_string(rev_) + "}"};
    for (auto& w : then.GetArray()) {
      if (w.HasMember("permit") && Count(w, "permit") != 0 && !holds_.count(Count(w, "permit")))
        return {400, "{\"error\":\"no such lease\"}"};
    }
    if (then.Empty()) return {200, Rev(rev_)};
    ++rev_;
    size_t i = 0;
    for (auto& w : then.GetArray()) {
      if (w.HasMember("put")) {
        Put(Text(w, "put"), data[i], Count(w, "permit"));
      } else {
        Put(Text(w, "drop"), "", 0);
      }
      ++i;
    }
    changed_.notify_all();
    return {200, Rev(rev_)};
  }
  Response Handle(const Request& r) {
    SleepS(0.003);
    const std::string path = r.Path();
    {
      std::lock_guard lock(mutex_);
      if (outage_) return {503, "{}"};
      if (!Take(tokens_, at_, limits_.rps, 1)) return {429, "{}"};
    }
    if (path == "/follow") return Follow(r);
    if (path == "/txn") {
      static thread_local std::mt19937 random{std::random_device{}()};
      if (std::uniform_real_distribution<double>(0, 1)(random) < lost_share) {
        if (lost_late) {
          const double delay = std::uniform_real_distribution<double>(2, 12)(random);
          std::thread([this, delay, body = r.body] {
            SleepS(delay);
            Commit(body);
          }).detach();
        } else {
          Commit(r.body);
        }
        SleepS(3);
        return {};
      }
      return Commit(r.body);
    }
    std::lock_guard lock(mutex_);
    if (path == "/holds") {
      Doc d;
      d.Parse(r.body.c_str(), r.body.size());
      if (d.HasParseError()) return {400, "{}"};
      const double ttl = static_cast<double>(Count(d, "ttlMs")) / 1000;
      holds_[++next_hold_] = {ttl, Steady() + ttl};
      return {200, "{\"permit\":" + std::to_string(next_hold_) + "}"};
    }
    if (path.compare(0, 7, "/holds/") == 0) {
      const uint64_t permit = std::strtoull(path.c_str() + 7, nullptr, 10);
      auto it = holds_.find(permit);
      if (it == holds_.end()) return {404, "{}"};
      if (r.method == "DELETE") {
        EndHold(permit);
      } else {
        it->second.ends = Steady() + it->second.ttl;
      }
      return {200, "{}"};
    }
    if (path == "/store") {
      const std::string prefix = r.Query("starts"), from = r.Query("from");
      size_t limit = std::strtoul(r.Query("limit").c_str(), nullptr, 10);
      if (limit == 0 || limit > 1000) limit = 1000;
      std::string out;
      bool more = false;
      size_t n = 0;
      for (auto it = entries_.lower_bound(prefix);
           it != entries_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        if (it->first <= from) continue;
        if (n == limit || out.size() > 500000) {
          more = true;
          break;
        }
        out += (out.empty() ? "" : ",") + std::string("{\"key\":") + Quote(it->first) +
               ",\"data\":" + it->second.data + ",\"stamp\":" + std::to_string(it->second.stamp) +
               "}";
        ++n;
      }
      return {200, "{\"entries\":[" + out + "],\"truncated\":" + (more ? "true" : "false") +
                       ",\"rev\":" + std::to_string(rev_) + "}"};
    }
    if (path.compare(0, 7, "/store/") == 0) {
      auto it = entries_.find(path.substr(7));
      if (it == entries_.end()) return {404, Rev(rev_)};
      return {200, "{\"key\":" + Quote(it->first) + ",\"data\":" + it->second.data +
                       ",\"stamp\":" + std::to_string(it->second.stamp) + "}"};
    }
    return {400, "{}"};
  }

  const Limits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::map<uint64_t, Hold> holds_;
  std::deque<Change> changes_;
  uint64_t rev_ = 0, next_hold_ = 0, oldest_ = 0;
  bool outage_ = false;
  double tokens_ = 0, at_ = 0, write_tokens_ = 0, write_at_ = 0;
  HttpServer server_;
};

// ---------------------------------------------------------------- workers

// What users upload for the workers, and how long each task of a job really runs.
struct JobInfo {
  double vcpus = 1, mem_gb = 1, run_s = 5;
};
inline std::mutex g_jobs_mutex;
inline std::map<std::string, JobInfo> g_jobs;

struct Sku {
  std::string name;
  double vcpus, mem_gb, ready_s;
};

class Worker {
 public:
  struct Options {
    std::string host, hall;
    Sku sku;
    bool lendable = false;
    double report_s = 3, lease_s = 45;
    std::vector<int> nodes;               // ports of the controllers
    std::vector<std::string> node_names;  // their names
  };
  // Called with "START" or "END", the task, and the message that started it.
  using OnEvent = std::function<void(const Worker&, const char*, const std::string&,
                                     const std::string& by)>;

  Worker(Options options, OnEvent on_event)
      : o_(std::move(options)),
        on_event_(std::move(on_event)),
        server_([this](const Request& r) { return Handle(r); }) {
    answered_sent_ = Steady();
    std::thread([this] { Loop(); }).detach();
  }
  const Options& options() const { return o_; }
  std::string endpoint() const { return "127.0.0.1:" + std::to_string(endpoint_port_.load()); }
  int server_port() const { return server_.port(); }
  // Address under which controllers reach /commands (a proxy's port, for instance).
  void SetEndpointPort(int port) { endpoint_port_ = port; }
  void Start() { started_ = true; }
  void End() {
    std::lock_guard lock(mutex_);
    ended_ = true;
    tasks_.clear();
  }
  size_t largest_line() const { return largest_line_; }
  size_t largest_body() const { return largest_body_; }
  size_t largest_report() const { return largest_report_; }
  int refused_reports() const { return refused_reports_; }
  int refused_commands() const { return refused_commands_; }
  // The last answered report: when it was answered and sent, and by which controller.
  double last_answered_at() const { return answered_at_; }
  double last_sent_at() const { return sent_at_; }
  std::string answered_by() const { return o_.node_names[answered_node_]; }
  uint64_t tenure() const { return tenure_; }
  size_t tasks() {
    std::lock_guard lock(mutex_);
    return tasks_.size();
  }
  // If set, an answer with a line longer than 64 KiB is dropped, and so is a larger request body.
  std::atomic<bool> enforce_64k{true};
  std::atomic<bool> log_reports{false};
  // While cut, no packet goes to or from the machine: its reports and answers fail.
  std::atomic<bool> cut{false};
  // While deaf, its reports arrive, and answers and commands are lost.
  std::atomic<bool> deaf{false};
  // While hung, it does nothing; it may go on later.
  std::atomic<bool> hung{false};

 private:
  struct Task {
    uint64_t attempt = 0;
    std::string phase, cause;
    double ends = 0;
    JobInfo job;
  };
  std::string Report() {
    std::string out = "{\"host\":" + Quote(o_.host) + ",\"endpoint\":" + Quote(endpoint()) +
                      ",\"flavor\":" + Quote(o_.sku.name) + ",\"hall\":" + Quote(o_.hall) +
                      ",\"lendable\":" + (o_.lendable ? "true" : "false") +
                      ",\"tenure\":" + std::to_string(tenure_) +
                      ",\"tick\":" + std::to_string(++tick_) +
                      ",\"epoch\":" + std::to_string(epoch_) + ",\"reclaimS\":null,\"pieces\":[";
    bool first = true;
    for (auto& [name, t] : tasks_) {
      if (!first) out += ",";
      first = false;
      out += "{\"piece\":" + Quote(name) + ",\"try\":" + std::to_string(t.attempt) +
             ",\"phase\":" + Quote(t.phase);
      if (!t.cause.empty()) out += ",\"cause\":" + Quote(t.cause);
      out += "}";
    }
    return out + "]}";
  }
  // Requires the mutex.
  void Execute(const Json& orders, const std::string& by) {
    if (!orders.IsArray()) return;
    for (auto& order : orders.GetArray()) {
      const std::string verb = Text(order, "verb"), piece = Text(order, "piece");
      const uint64_t attempt = Count(order, "try");
      auto it = tasks_.find(piece);
      if (verb == "run") {
        if (it != tasks_.end() && it->second.attempt == attempt) continue;
        Task t;
        t.attempt = attempt;
        JobInfo job;
        bool known = false;
        {
          std::lock_guard lock(g_jobs_mutex);
          auto j = g_jobs.find(piece.substr(0, piece.find('/')));
          if (j != g_jobs.end()) job = j->second, known = true;
        }
        double cpus = 0, mem = 0;
        for (auto& [name, other] : tasks_)
          if (other.phase != "ended") cpus += other.job.vcpus, mem += other.job.mem_gb;
        t.job = job;
        t.phase = "ended";
        if (!known) {
          t.cause = "unknown";
        } else if (it != tasks_.end() && it->second.phase != "ended") {
          continue;  // `busy`: the same task with another attempt; reported with that attempt
        } else if (cpus + job.vcpus > o_.sku.vcpus + 1e-6 ||
                   mem + job.mem_gb > o_.sku.mem_gb + 1e-6) {
          t.cause = "no_room";
        } else {
          t.phase = "running";
          t.ends = Steady() + job.run_s;
          on_event_(*this, "START", piece, by);
        }
        tasks_[piece] = t;
        dirty_ = true;
      } else if (verb == "stop" && it != tasks_.end() && it->second.attempt == attempt) {
        if (it->second.phase == "ended") continue;
        it->second.phase = "ended";
        it->second.cause = "stopped";
        on_event_(*this, "END", piece, "stop");
        dirty_ = true;
      } else if (verb == "forget" && it != tasks_.end() && it->second.attempt == attempt) {
        if (it->second.phase == "ended") tasks_.erase(it), dirty_ = true;
      }
    }
  }
  Response Handle(const Request& r) {
    if (cut) ++refused_commands_;
    while (hung && !ended_) SleepS(0.02);
    if (ended_ || cut || deaf) return {};
    std::lock_guard lock(mutex_);
    if (r.Path() == "/show") return {200, Report()};
    largest_body_ = std::max(largest_body_.load(), r.body.size());
    if (r.body.size() > 65536 && enforce_64k) return {413, "{}"};
    Doc d;
    d.Parse(r.body.c_str(), r.body.size());
    if (d.HasParseError() || !d.IsObject() || !d.HasMember("epoch") || !d.HasMember("tenure"))
      return {400, "{}"};
    if (Count(d, "epoch") < epoch_ || Count(d, "tenure") != tenure_) return {409, Report()};
    if (Count(d, "epoch") > epoch_) epoch_ = Count(d, "epoch"), dirty_ = true;
    if (d.HasMember("orders")) Execute(d["orders"], "command");
    return {200, Report()};
  }
  void Tick() {
    std::lock_guard lock(mutex_);
    const double now = Steady();
    if (now - answered_sent_ > o_.lease_s) {
      Record("worker %s: lease over, tenure %lu ends with %zu tasks", o_.host.c_str(),
             static_cast<unsigned long>(tenure_.load()), tasks_.size());
      for (auto& [name, t] : tasks_)
        if (t.phase != "ended") on_event_(*this, "END", name, "lease");
      tasks_.clear();
      ++tenure_;
      answered_sent_ = now;
      dirty_ = true;
    }
    for (auto& [name, t] : tasks_) {
      if (t.phase != "running" || now < t.ends) continue;
      t.phase = "ended";
      t.cause = "done";
      on_event_(*this, "END", name, "done");
      dirty_ = true;
    }
  }
  void Loop() {
    while (!started_) SleepS(0.01);
    {
      std::lock_guard lock(mutex_);
      answered_sent_ = Steady();
    }
    std::mt19937 random{std::random_device{}()};
    std::uniform_real_distribution<double> jitter(0.75, 1.25);
    size_t node = 0;
    double next = 0, last = -1;
    while (!ended_) {
      SleepS(0.02);
      if (hung) continue;
      Tick();
      const double now = Steady();
      const bool due = now >= next || (dirty_ && now - last >= 0.5 && !waiting_);
      if (!due) continue;
      std::string report;
      uint64_t tenure;
      {
        std::lock_guard lock(mutex_);
        dirty_ = false;
        report = Report();
        tenure = tenure_;
      }
      largest_report_ = std::max(largest_report_.load(), report.size());
      last = now;
      waiting_ = false;
      next = now + o_.report_s * jitter(random);
      Response r;
      if (cut) {
        SleepS(1);  // the connection fails
      } else {
        r = Call(o_.nodes[node], "POST", "/checkin", report, 4);
      }
      while (hung && !ended_) SleepS(0.02);
      if (ended_) break;
      if (cut || deaf || Steady() - now > 4) r = {};
      if (log_reports)
        Record("worker %s: report of %zu bytes to %s: %d", o_.host.c_str(), report.size(),
               o_.node_names[node].c_str(), r.status);
      Doc d;
      if (!r.body.empty()) d.Parse(r.body.c_str(), r.body.size());
      const bool object = !r.body.empty() && !d.HasParseError() && d.IsObject();
      if (r.status == 200 && object) {
        size_t longest = 0, from = 0;
        while (from <= r.body.size()) {
          size_t end = r.body.find('\n', from);
          if (end == std::string::npos) end = r.body.size();
          longest = std::max(longest, end - from);
          from = end + 1;
        }
        largest_line_ = std::max(largest_line_.load(), longest);
        std::lock_guard lock(mutex_);
        if (longest > 65536 && enforce_64k) continue;
        if (tenure != tenure_ || !d.HasMember("epoch") || Count(d, "epoch") < epoch_) continue;
        if (Count(d, "epoch") > epoch_) epoch_ = Count(d, "epoch"), dirty_ = true;
        answered_sent_ = now;
        answered_node_ = node;
        sent_at_ = now;
        answered_at_ = Steady();
        if (d.HasMember("orders")) Execute(d["orders"], "report answered by " + o_.node_names[node]);
        continue;
      }
      if (r.status != 0 && r.status != 421 && r.status != 503) ++refused_reports_;
      const std::string foreman = object ? Text(d, "foreman") : "";
      size_t to = (node + 1) % o_.nodes.size();
      bool at_once = false;
      for (size_t i = 0; r.status == 421 && i < o_.node_names.size(); ++i)
        if (o_.node_names[i] == foreman && i != node) to = i, at_once = true;
      node = to;
      waiting_ = true;
      next = Steady() + (at_once ? 0.1 : 1.0);
    }
  }

  const Options o_;
  OnEvent on_event_;
  std::mutex mutex_;
  std::map<std::string, Task> tasks_;
  std::atomic<uint64_t> tenure_{1};
  uint64_t tick_ = 0, epoch_ = 0;
  double answered_sent_ = 0;
  std::atomic<bool> dirty_{false}, ended_{false}, started_{false};
  bool waiting_ = false;
  std::atomic<size_t> largest_line_{0}, largest_body_{0}, largest_report_{0};
  std::atomic<int> refused_reports_{0}, refused_commands_{0};
  std::atomic<double> answered_at_{0}, sent_at_{0};
  std::atomic<size_t> answered_node_{0};
  std::atomic<int> endpoint_port_{0};
  HttpServer server_;
};

// ---------------------------------------------------------------- cloud

class Cloud {
 public:
  struct Options {
    std::vector<Sku> skus;
    std::vector<std::string> halls;
    size_t max_machines = 8;
    double fetch_gb_per_s = 1;
  };
  Cloud(Options options, Worker::Options worker, Worker::OnEvent on_event)
      : o_(std::move(options)),
        w_(std::move(worker)),
        on_event_(std::move(on_event)),
        server_([this](const Request& r) { return Handle(r); }) {}
  int port() const { return server_.port(); }
  // The controllers that the workers of new machines report to. Must be called before any starts.
  void SetNodes(std::vector<int> ports, std::vector<std::string> names) {
    std::lock_guard lock(mutex_);
    w_.nodes = std::move(ports);
    w_.node_names = std::move(names);
  }
  // Called for each new machine before it starts.
  std::function<void(Worker&)> on_new;
  Worker* Add(const std::string& sku, const std::string& hall, bool lendable, double boot_s) {
    std::lock_guard lock(mutex_);
    return AddLocked(sku, hall, lendable, boot_s);
  }
  std::vector<Worker*> machines() {
    std::lock_guard lock(mutex_);
    std::vector<Worker*> out;
    for (auto& [name, m] : machines_) out.push_back(m.worker);
    return out;
  }

 private:
  struct Machine {
    Worker* worker;
    double rented, up;
  };
  Worker* AddLocked(const std::string& sku, const std::string& hall, bool lendable,
                    double boot_s) {
    Worker::Options options = w_;
    char name[32];
    std::snprintf(name, sizeof(name), "vm-%06d", ++last_);
    options.host = name;
    options.hall = hall;
    options.lendable = lendable;
    for (auto& s : o_.skus)
      if (s.name == sku) options.sku = s;
    Worker* worker = new Worker(options, on_event_);  // lives until the program ends
    worker->SetEndpointPort(worker->server_port());
    if (on_new) on_new(*worker);
    machines_[name] = {worker, Steady(), Steady() + boot_s};
    std::thread([worker, boot_s] {
      SleepS(boot_s);
      worker->Start();
    }).detach();
    return worker;
  }
  Response Handle(const Request& r) {
    SleepS(0.02);
    std::lock_guard lock(mutex_);
    if (r.Path() == "/flavors") {
      std::string out;
      for (auto& s : o_.skus) {
        std::string halls;
        for (auto& h : o_.halls) halls += (halls.empty() ? "" : ",") + Quote(h);
        char line[512];
        std::snprintf(line, sizeof(line),
                      "{\"sku\":\"%s\",\"vcpus\":%.1f,\"cards\":0,\"memGb\":%.1f,\"localGb\":50.0,"
                      "\"fetchGbPerS\":%.2f,\"rate\":0.3,\"marketPrice\":0.1,\"readyS\":%.1f,"
                      "\"halls\":[%s]}",
                      s.name.c_str(), s.vcpus, s.mem_gb, o_.fetch_gb_per_s, s.ready_s,
                      halls.c_str());
        out += (out.empty() ? "" : ",") + std::string(line);
      }
      return {200, "{\"flavors\":[" + out + "]}"};
    }
    if (r.method == "GET") {
      std::string out;
      const std::string from = r.Query("from");
      for (auto& [name, m] : machines_) {
        if (name <= from) continue;
        const auto& w = m.worker->options();
        out += (out.empty() ? "" : ",") + std::string("{\"id\":") + Quote(name) +
               ",\"endpoint\":" + Quote(m.worker->endpoint()) + ",\"flavor\":" +
               Quote(w.sku.name) + ",\"hall\":" + Quote(w.hall) +
               ",\"lendable\":" + (w.lendable ? "true" : "false") + ",\"phase\":" +
               (Steady() < m.up ? "\"starting\"" : "\"running\"") +
               ",\"heldS\":" + std::to_string(Steady() - m.rented) + "}";
      }
      return {200, "{\"hosts\":[" + out + "],\"truncated\":false}"};
    }
    Doc d;
    d.Parse(r.body.c_str(), r.body.size());
    if (d.HasParseError() || !d.IsObject()) return {400, "{}"};
    if (r.Path() == "/rentals/return") {
      if (d.HasMember("hosts") && d["hosts"].IsArray()) {
        for (auto& h : d["hosts"].GetArray()) {
          auto it = machines_.find(h.GetString());
          if (it == machines_.end()) continue;
          Record("cloud: %s returned", h.GetString());
          it->second.worker->End();
          machines_.erase(it);
        }
      }
      return {200, "{}"};
    }
    const std::string hire = Text(d, "hire");
    if (hires_.count(hire)) return {200, hires_[hire]};
    if (machines_.size() >= o_.max_machines) return {503, "{\"error\":\"no capacity\"}"};
    std::string out;
    for (uint64_t i = 0; i < Count(d, "howMany") && machines_.size() < o_.max_machines; ++i) {
      double ready = 5;
      for (auto& s : o_.skus)
        if (s.name == Text(d, "flavor")) ready = s.ready_s;
      Worker* w = AddLocked(Text(d, "flavor"), Text(d, "hall"),
                            d.HasMember("lendable") && d["lendable"].IsTrue(), ready);
      Record("cloud: %s rented (%s)", w->options().host.c_str(), hire.c_str());
      out += (out.empty() ? "" : ",") + Quote(w->options().host);
    }
    return {200, hires_[hire] = "{\"hosts\":[" + out + "]}"};
  }

  const Options o_;
  Worker::Options w_;
  Worker::OnEvent on_event_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> hires_;
  int last_ = 0;
  HttpServer server_;
};

// ---------------------------------------------------------------- controllers

struct Site {
  double report_s = 3, lease_s = 45, cancel_s = 70;
  StateService::Limits state;
  double cloud_rps = 5, list_lag_s = 3, memory_mb = 264;
  int max_sockets = 5000;
  std::vector<std::string> zones = {"a", "b"};
  std::string teams;  // TOML of the [[params.teams]] tables
};

class Controllers {
 public:
  // Starts no process yet. Each node reaches the state service and the other nodes through proxies
  // of its own.
  Controllers(const std::string& folder, int count, const Site& site, int state_port,
              int cloud_port)
      : folder_(folder) {
    for (int i = 0; i < count; ++i) {
      Node n;
      n.name = "hallnode-" + std::to_string(i);
      n.port = FreePort();
      n.peer_port = FreePort();
      n.state = std::make_unique<Proxy>(state_port);
      nodes_.push_back(std::move(n));
    }
    for (int i = 0; i < count; ++i) {
      std::string t = "node = \"" + nodes_[i].name + "\"\narea = \"" +
                      site.zones[i % site.zones.size()] + "\"\nlisten = \"127.0.0.1:" +
                      std::to_string(nodes_[i].port) + "\"\npeer_bind = \"127.0.0.1:" +
                      std::to_string(nodes_[i].peer_port) + "\"\n";
      for (int j = 0; j < count; ++j) {
        if (i == j) continue;
        links_[{i, j}] = std::make_unique<Proxy>(nodes_[j].peer_port);
        t += "\n[[seeds]]\nnode = \"" + nodes_[j].name + "\"\narea = \"" +
             site.zones[j % site.zones.size()] + "\"\nendpoint = \"127.0.0.1:" +
             std::to_string(links_[{i, j}]->port()) + "\"\n";
      }
      char p[1500];
      std::string zones;
      for (auto& z : site.zones) zones += (zones.empty() ? "" : ", ") + Quote(z);
      std::snprintf(
          p, sizeof(p),
          "\n[services]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n\n[params]\nsize = %d\n"
          "zones = [%s]\nskew_ms = 5.0\n\n%s\n[params.workers]\nreport_s = %.2f\nlease_s = %.2f\n"
          "gang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = %.2f\n\n[params.state]\nrps = %.1f\n"
          "write_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %zu\n\n[params.cloud]\nrps = %.1f\n"
          "list_lag_s = %.1f\n\n[params.machine_limits]\ncore_share = 1.0\nmemory_mb = %.1f\n"
          "max_sockets = %d\n",
          cloud_port, nodes_[i].state->port(), count, zones.c_str(), site.teams.c_str(),
          site.report_s, site.lease_s, site.cancel_s, site.state.rps, site.state.write_rps,
          site.state.value_kb, site.state.txn_ops, site.cloud_rps, site.list_lag_s, site.memory_mb,
          site.max_sockets);
      nodes_[i].settings = folder + "/" + nodes_[i].name + ".toml";
      FILE* f = std::fopen(nodes_[i].settings.c_str(), "w");
      std::fputs((t + p).c_str(), f);
      std::fclose(f);
    }
  }
  ~Controllers() { KillAll(); }
  void Start(int i) {
    // Everything is prepared before the fork: the child of a process with threads may only make
    // system calls.
    const std::string log = folder_ + "/" + nodes_[i].name + ".log";
    std::string level = "LOG_LEVEL=info";
    if (const char* set = std::getenv("LOG_LEVEL")) level = std::string("LOG_LEVEL=") + set;
    char program[] = "target/hallpier", operators[] = "--operator",
         operators_file[] = "deploy/operator.conf", config[] = "--config";
    char* arguments[] = {program, operators, operators_file, config,
                         nodes_[i].settings.data(), nullptr};
    char* environment[] = {level.data(), nullptr};
    const pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(127);
      int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 2);
      dup2(fd, 1);
      execve(program, arguments, environment);
      _exit(127);
    }
    nodes_[i].pid = pid;
    Record("controller %s started", nodes_[i].name.c_str());
  }
  void Signal(int i, int sig) {
    if (nodes_[i].pid <= 0) return;
    Record("controller %s gets signal %d", nodes_[i].name.c_str(), sig);
    kill(nodes_[i].pid, sig);
    if (sig == SIGKILL) {
      waitpid(nodes_[i].pid, nullptr, 0);
      nodes_[i].pid = -1;
    }
  }
  void KillAll() {
    for (size_t i = 0; i < nodes_.size(); ++i) Signal(static_cast<int>(i), SIGKILL);
  }
  // The process has ended by itself.
  bool Ended(int i) {
    if (nodes_[i].pid <= 0) return true;
    int status = 0;
    if (waitpid(nodes_[i].pid, &status, WNOHANG) != nodes_[i].pid) return false;
    Record("controller %s ended by itself, status %d", nodes_[i].name.c_str(), status);
    nodes_[i].pid = -1;
    return true;
  }
  double CpuSeconds(int i) {
    std::string path = "/proc/" + std::to_string(nodes_[i].pid) + "/stat";
    FILE* f = std::fopen(path.c_str(), "r");
    if (f == nullptr) return 0;
    char line[1024] = {0};
    if (std::fgets(line, sizeof(line), f) == nullptr) line[0] = 0;
    std::fclose(f);
    const char* at = std::strrchr(line, ')');
    unsigned long user = 0, system = 0;
    if (at != nullptr)
      std::sscanf(at + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system);
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  void CutState(int i, bool cut) { nodes_[i].state->Cut(cut); }
  void CutPeers(int i, bool cut) {
    for (auto& [pair, link] : links_)
      if (pair.first == i || pair.second == i) link->Cut(cut);
  }
  int port(int i) const { return nodes_[i].port; }
  const std::string& name(int i) const { return nodes_[i].name; }
  int count() const { return static_cast<int>(nodes_.size()); }
  std::vector<int> ports() const {
    std::vector<int> out;
    for (auto& n : nodes_) out.push_back(n.port);
    return out;
  }
  std::vector<std::string> names() const {
    std::vector<std::string> out;
    for (auto& n : nodes_) out.push_back(n.name);
    return out;
  }
  bool WaitReady(double limit_s) {
    const double until = Steady() + limit_s;
    for (int i = 0; i < count(); ++i) {
      while (Call(port(i), "GET", "/ready", "", 1).status != 200) {
        if (Steady() > until) return false;
        SleepS(0.1);
      }
    }
    return true;
  }

 private:
  struct Node {
    std::string name, settings;
    int port = 0, peer_port = 0;
    pid_t pid = -1;
    std::unique_ptr<Proxy> state;
  };
  const std::string folder_;
  std::vector<Node> nodes_;
  std::map<std::pair<int, int>, std::unique_ptr<Proxy>> links_;
};

// ---------------------------------------------------------------- users

struct JobSpec {
  std::string id, lane = "demo", tenant = "team", shape = "array", urgency = "normal";
  int pieces = 1;
  double vcpus = 1, mem_gb = 1, expect_s = 5;
  double due_s = 0;  // 0: none
  double run_s = 5;  // how long a task really runs
  std::vector<std::string> awaits;
};

inline std::string Body(const JobSpec& j) {
  char text[1024];
  std::snprintf(text, sizeof(text),
                "{\"id\":\"%s\",\"lane\":\"%s\",\"tenant\":\"%s\",\"shape\":\"%s\",\"urgency\":\"%s\","
                "\"pieces\":%d,\"vcpus\":%.6g,\"cards\":0.0,\"memGb\":%.6g,\"bundle\":\"img-1\","
                "\"sizeGb\":0.0,\"flavors\":null,\"hall\":null,\"oneZone\":false,\"spread\":false,"
                "\"lendable\":false,\"expectS\":%.7f,\"snapshotEveryS\":0.0,\"snapshotS\":0.0",
                j.id.c_str(), j.lane.c_str(), j.tenant.c_str(), j.shape.c_str(),
                j.urgency.c_str(), j.pieces, j.vcpus, j.mem_gb, j.expect_s);
  std::string out = text;
  if (j.due_s > 0) {
    std::snprintf(text, sizeof(text), ",\"dueS\":%.3f", j.due_s);
    out += text;
  }
  if (!j.awaits.empty()) {
    out += ",\"awaits\":[";
    for (size_t i = 0; i < j.awaits.size(); ++i) out += (i ? "," : "") + Quote(j.awaits[i]);
    out += "]";
  }
  return out + "}";
}

// Uploads the job for the workers and submits it as a user does: repeated at the next node after 1 s
// for up to `limit_s`. Returns the last status.
inline int Submit(const Controllers& c, const JobSpec& j, int node, double limit_s = 60) {
  {
    std::lock_guard lock(g_jobs_mutex);
    g_jobs[j.id] = {j.vcpus, j.mem_gb, j.run_s};
  }
  const double until = Steady() + limit_s;
  int status = 0;
  while (true) {
    Response r = Call(c.port(node), "POST", "/submissions", Body(j), 5);
    status = r.status;
    Record("user: submit %s to %s: %d %s", j.id.c_str(), c.name(node).c_str(), r.status,
           r.body.substr(0, 120).c_str());
    if (status == 200 || status == 201 || status == 400 || status == 422) return status;
    if (Steady() > until) return status;
    SleepS(1);
    node = (node + 1) % c.count();
  }
}

inline std::string PhaseOf(const Response& r) {
  Doc d;
  d.Parse(r.body.c_str(), r.body.size());
  return d.HasParseError() || !d.IsObject() ? "" : Text(d, "phase");
}

// The temporary folder of a run; removed by run.sh.
inline std::string Folder() {
  const char* dir = std::getenv("CASE_TMP");
  return dir == nullptr ? "/tmp" : dir;
}
inline bool Trouble() {
  const char* t = std::getenv("TROUBLE");
  return t == nullptr || std::string(t) != "0";
}

// Ends the program at once, without the destructors of the detached threads' objects.
[[noreturn]] inline void Finish(int status, const char* why) {
  Record("RESULT %d: %s", status, why);
  std::printf("%d: %s\n", status, why);
  std::fflush(nullptr);
  _exit(status);
}

}  // namespace standin
