#include "standins/standins.h"

#include <algorithm>
#include <charconv>

#include "model/cloud.h"
#include "model/machine_type.h"
#include "model/task.h"
#include "wire/cloud_codec.h"
#include "wire/json.h"
#include "wire/url_query.h"
#include "wire/user_codec.h"

namespace hallpier::standins {
namespace {

const net::HttpServer::Limits kLimits = {1000, size_t{256} * 1024, 600, 10, 600};

wire::HttpResponse Answer(int status, std::string body) {
  return {.status = status, .body = std::move(body)};
}

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> out;
  for (auto& [name, value] : wire::ParseQuery(target)) out[name] = value;
  return out;
}

uint64_t Number(const std::string& text) {
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

void WriteEntry(wire::JsonWriter& w, const std::string& key, const std::string& value,
                uint64_t version) {
  w.StartObject();
  w.Field("key").Text(key);
  w.Field("data").Raw(value);
  w.Field("stamp").Uint64(version);
  w.EndObject();
}

std::string Revision(uint64_t revision) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("rev").Uint64(revision);
  w.EndObject();
  return w.Take();
}

}  // namespace

State::State(async::Scope& scope)
    : scope_(scope),
      server_(scope, kLimits, [this](wire::HttpRequest r) { return Handle(std::move(r)); }),
      apart_(scope, kLimits, [this](wire::HttpRequest r) { return HandleApart(std::move(r)); }) {
  scope_.Spawn(ExpireLoop());
}

void State::SetOutage(bool on) {
  outage_ = on;
  if (on) return;
  // After an outage every lease has its full time again.
  for (auto& [lease_id, hold] : holds_) hold.until = scope_.loop().Now() + hold.ttl_s;
}

async::Task<> State::ExpireLoop() {
  while (!scope_.cancelled()) {
    async::Sleep pause(scope_, 0.02);
    co_await pause;
    std::vector<uint64_t> over;
    for (const auto& [lease_id, hold] : holds_) {
      if (!outage_ && scope_.loop().Now() > hold.until) over.push_back(lease_id);
    }
    for (uint64_t lease_id : over) EndHold(lease_id);
  }
}

void State::Put(const std::string& key, const std::string& value, uint64_t lease_id) {
  if (value.empty()) {
    if (keys_.erase(key) == 0) return;
  } else {
    keys_[key] = {value, revision_, lease_id};
  }
  changes_.push_back({key, value, revision_});
  if (on_write_) on_write_(key, value);
}

std::string State::Value(const std::string& key) const {
  auto it = keys_.find(key);
  return it == keys_.end() ? std::string() : it->second.value;
}

std::optional<wire::HttpResponse> State::Refuse(const wire::JsonValue& writes) {
  bool large = limits_.txn_ops > 0 && writes.Size() > limits_.txn_ops;
  for (const auto& o : writes.GetArray()) {
    const bool put = wire::Find(o, "put") != nullptr;
    large = large ||
            (put && limits_.value_bytes > 0 && wire::Dump(o["data"]).size() > limits_.value_bytes);
  }
  int status = large ? 400 : 0;
  if (!large && limits_.write_rps > 0) {
    // A burst of one second's worth.
    const double now = scope_.loop().Now();
    write_level_ =
        std::min(limits_.write_rps, write_level_ + (now - write_at_) * limits_.write_rps);
    write_at_ = now;
    if (write_level_ < writes.Size()) status = 429;
    if (status == 0) write_level_ -= writes.Size();
  }
  if (status == 0) return std::nullopt;
  ++refused_;
  return Answer(status, wire::WriteError("over a limit"));
}

void State::EndHold(uint64_t lease_id) {
  holds_.erase(lease_id);
  std::vector<std::string> attached;
  for (const auto& [key, k] : keys_) {
    if (k.lease_id == lease_id) attached.push_back(key);
  }
  if (attached.empty()) return;
  ++revision_;
  for (const auto& key : attached) Put(key, "", 0);
  changed_.Notify();
}

wire::HttpResponse State::Commit(const std::string& body) {
  auto d = wire::ParseObject(body);
  if (!d) return Answer(400, "{}");
  wire::JsonWriter failed;
  failed.StartObject();
  failed.Field("failed").StartArray();
  bool good = true;
  for (const auto& g : (*d)["guards"].GetArray()) {
    const std::string key = *wire::GetText(g, "key");
    auto it = keys_.find(key);
    if ((it == keys_.end() ? 0 : it->second.version) == *wire::GetCount(g, "stamp")) continue;
    good = false;
    failed.Text(key);
  }
  failed.EndArray();
  failed.Field("rev").Uint64(revision_);
  failed.EndObject();
  if (auto refused = Refuse((*d)["then"])) return *refused;
  if (!good) return Answer(409, failed.Take());
  for (const auto& o : (*d)["then"].GetArray()) {
    auto lease_id = wire::GetCount(o, "permit");
    if (lease_id && !holds_.contains(*lease_id)) return Answer(400, R"({"error":"no such lease"})");
  }
  ++revision_;
  for (const auto& o : (*d)["then"].GetArray()) {
    if (auto put = wire::GetText(o, "put")) {
      Put(*put, wire::Dump(o["data"]), wire::GetCount(o, "permit").value_or(0));
    } else {
      Put(*wire::GetText(o, "drop"), "", 0);
    }
  }
  changed_.Notify();
  return Answer(200, Revision(revision_));
}

bool State::Writes(const std::string& body, const std::string& prefix) {
  auto d = wire::ParseObject(body);
  if (!d) return false;
  const auto& then = (*d)["then"];
  return std::any_of(then.Begin(), then.End(), [&](const wire::JsonValue& o) {
    return wire::GetText(o, "put").value_or("").starts_with(prefix);
  });
}

async::Task<wire::HttpResponse> State::AnswerTxn(std::string body) {
  if (delay_s_ > 0 && Writes(body, delay_prefix_)) {
    async::Sleep pause(scope_, delay_s_);
    co_await pause;
  }
  if (lose_count_ == 0 || !Writes(body, lose_prefix_)) co_return Commit(body);
  --lose_count_;
  ++lost_so_far_;
  if (lost_ == Lost::kAtOnce) {
    Commit(body);
  } else {
    late_.push_back(std::move(body));
  }
  // Longer than anybody waits for it.
  async::Sleep never(scope_, 30);
  co_await never;
  co_return Answer(503, "{}");
}

int State::CarryOutLate() {
  int done = 0;
  for (const std::string& body : std::exchange(late_, {})) {
    if (Commit(body).status == 200) ++done;
  }
  return done;
}

wire::HttpResponse State::List(const std::string& target) const {
  auto q = Query(target);
  wire::JsonWriter w;
  w.StartObject();
  w.Field("entries").StartArray();
  for (const auto& [key, k] : keys_) {
    if (key.starts_with(q["starts"]) && key > q["from"]) WriteEntry(w, key, k.value, k.version);
  }
  w.EndArray();
  w.Field("truncated").Bool(false);
  w.Field("rev").Uint64(revision_);
  w.EndObject();
  return Answer(200, w.Take());
}

wire::HttpResponse State::Holds(const wire::HttpRequest& r) {
  const std::string path(r.path());
  if (path == "/holds") {
    auto d = wire::ParseObject(r.body);
    const double ttl = static_cast<double>(wire::GetCount(*d, "ttlMs").value_or(0)) / 1000;
    holds_[++next_lease_id_] = {ttl, scope_.loop().Now() + ttl};
    wire::JsonWriter w;
    w.StartObject();
    w.Field("permit").Uint64(next_lease_id_);
    w.EndObject();
    return Answer(200, w.Take());
  }
  const uint64_t lease_id = Number(path.substr(7));
  auto hold = holds_.find(lease_id);
  if (hold == holds_.end()) return Answer(404, "{}");
  if (r.method == "DELETE") {
    EndHold(lease_id);
  } else {
    hold->second.until = scope_.loop().Now() + hold->second.ttl_s;
  }
  return Answer(200, "{}");
}

async::Task<wire::HttpResponse> State::Follow(std::string target) {
  auto q = Query(target);
  const uint64_t from = Number(q["from"]);
  const double until = scope_.loop().Now() + static_cast<double>(Number(q["blockMs"])) / 1000;
  while (true) {
    wire::JsonWriter w;
    w.StartObject();
    w.Field("rev").Uint64(revision_);
    w.Field("news").StartArray();
    bool any = false;
    for (const auto& c : changes_) {
      if (outage_ || c.version <= from || !c.key.starts_with(q["starts"])) continue;
      any = true;
      w.StartObject();
      w.Field(c.value.empty() ? "drop" : "put").Text(c.key);
      if (!c.value.empty()) w.Field("data").Raw(c.value);
      w.Field("stamp").Uint64(c.version);
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    const double left = until - scope_.loop().Now();
    if (any || left <= 0 || scope_.cancelled()) {
      if (watch_lag_s_ > 0) {
        async::Sleep lag(scope_, watch_lag_s_);
        co_await lag;
      }
      co_return Answer(200, w.Take());
    }
    auto wait = changed_.Await(scope_, left);
    co_await wait;
  }
}

async::Task<wire::HttpResponse> State::HandleApart(wire::HttpRequest r) {
  if (cut_) co_return Answer(503, "{}");
  wire::HttpResponse answer = co_await Handle(std::move(r));
  if (cut_) co_return Answer(503, "{}");  // a watch that was open when the cut began
  co_return answer;
}

async::Task<wire::HttpResponse> State::Handle(wire::HttpRequest r) {
  ++requests_;
  if (outage_) co_return Answer(503, "{}");
  const std::string path(r.path());
  if (path == "/follow") {
    wire::HttpResponse answer = co_await Follow(r.target);
    co_return answer;
  }
  if (path == "/txn") {
    wire::HttpResponse answer = co_await AnswerTxn(r.body);
    co_return answer;
  }
  if (path.starts_with("/holds")) co_return Holds(r);
  if (path == "/store") co_return List(r.target);
  auto it = keys_.find(path.substr(std::min(path.size(), std::string_view("/store/").size())));
  if (it == keys_.end()) co_return Answer(404, Revision(revision_));
  wire::JsonWriter w;
  WriteEntry(w, it->first, it->second.value, it->second.version);
  co_return Answer(200, w.Take());
}

// One machine: reports, takes orders, runs each task for a set time.
class Cloud::Worker {
 public:
  Worker(Cloud& cloud, model::CloudMachine listed)
      : cloud_(cloud),
        listed_(std::move(listed)),
        life_(cloud.scope_.loop(), &cloud.scope_),
        server_(life_, kLimits, [this](wire::HttpRequest r) { return Handle(std::move(r)); }),
        client_(1, size_t{256} * 1024) {}

  bool Start() {
    std::string error;
    if (!server_.Listen(listed_.endpoint, &error)) return false;
    life_.Spawn(ReportLoop());
    return true;
  }
  void End() {
    life_.Cancel();
    pieces_.clear();
  }
  const model::CloudMachine& listed() const { return listed_; }
  bool Has(const model::TaskId& task) const {
    auto it = pieces_.find(task);
    return it != pieces_.end() && it->second.state == "running";
  }
  int CountOf(const std::string& job) const {
    return CountIf([&](const std::string& name) { return name == job; });
  }
  int CountOfPrefix(const std::string& prefix) const {
    return CountIf([&](const std::string& name) { return name.starts_with(prefix); });
  }

 private:
  struct Running {
    uint64_t attempt = 0;
    std::string state = "running";
    std::string cause;
    double ends = 0;
  };

  template <class F>
  int CountIf(F job_matches) const {
    return static_cast<int>(std::count_if(pieces_.begin(), pieces_.end(), [&](const auto& p) {
      return job_matches(p.first.job) && p.second.state == "running";
    }));
  }

  std::string Report() {
    wire::JsonWriter w;
    w.StartObject();
    w.Field("host").Text(listed_.machine);
    w.Field("endpoint").Text(listed_.endpoint);
    w.Field("flavor").Text(listed_.machine_type);
    w.Field("hall").Text(listed_.zone);
    w.Field("lendable").Bool(listed_.spot);
    w.Field("tenure").Uint64(tenure_);
    w.Field("tick").Uint64(++tick_);
    w.Field("epoch").Uint64(token_);
    w.Field("pieces").StartArray();
    for (const auto& [task, p] : pieces_) {
      w.StartObject();
      w.Field("piece").Text(model::TaskName(task));
      w.Field("try").Uint64(p.attempt);
      w.Field("phase").Text(p.state);
      if (!p.cause.empty()) w.Field("cause").Text(p.cause);
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    return w.Take();
  }

  void Execute(const wire::JsonValue& commands) {
    for (const auto& o : commands.GetArray()) {
      const std::string kind = *wire::GetText(o, "verb");
      auto task = model::ParseTaskName(*wire::GetText(o, "piece"));
      const uint64_t attempt = *wire::GetCount(o, "try");
      auto it = pieces_.find(*task);
      const bool same = it != pieces_.end() && it->second.attempt == attempt;
      if (kind == "run" && !same) {
        cloud_.OnStart(this, *task);
        Running p;
        p.attempt = attempt;
        p.ends = life_.loop().Now() + cloud_.options_.run_s;
        pieces_[*task] = p;
      } else if (kind == "stop" && same && it->second.state == "running") {
        it->second.state = "ended";
        it->second.cause = "stopped";
      } else if (kind == "forget" && same && it->second.state == "ended") {
        pieces_.erase(it);
      }
    }
  }

  bool Tick() {
    bool changed = false;
    for (auto& [task, p] : pieces_) {
      if (p.state != "running" || life_.loop().Now() < p.ends) continue;
      p.state = "ended";
      p.cause = "done";
      changed = true;
    }
    return changed;
  }

  async::Task<> ReportLoop() {
    size_t node = 0;
    double renewed = life_.loop().Now();
    double next = 0;
    while (!life_.cancelled()) {
      async::Sleep pause(life_, cloud_.options_.heartbeat_interval_s / 20);
      co_await pause;
      const double now = life_.loop().Now();
      if (now - renewed > cloud_.options_.lease_s) {
        pieces_.clear();
        ++tenure_;
        renewed = now;
      }
      if (!Tick() && now < next) continue;
      next = now + cloud_.options_.heartbeat_interval_s;
      const uint64_t session = tenure_;
      wire::HttpRequest q{.method = "POST", .target = "/checkin", .body = Report()};
      auto r = co_await client_.Call(life_, cloud_.options_.controllers[node], std::move(q),
                                     std::min(4.0, cloud_.options_.heartbeat_interval_s), false);
      if (life_.cancelled()) break;
      auto d = r ? wire::ParseObject(r->body) : std::nullopt;
      if (r && r->status == 200 && d) {
        const uint64_t token = wire::GetCount(*d, "epoch").value_or(0);
        if (token < token_ || session != tenure_) continue;
        token_ = token;
        renewed = now;
        Execute((*d)["orders"]);
        continue;
      }
      const auto& names = cloud_.options_.nodes;
      auto named = d ? wire::GetText(*d, "foreman") : std::nullopt;
      auto at = named ? std::find(names.begin(), names.end(), *named) : names.end();
      node = at != names.end() ? static_cast<size_t>(at - names.begin())
                               : (node + 1) % cloud_.options_.controllers.size();
      next = now + cloud_.options_.heartbeat_interval_s / 3;
    }
  }

  async::Task<wire::HttpResponse> Handle(wire::HttpRequest r) {
    if (r.path() == "/show") co_return Answer(200, Report());
    auto d = wire::ParseObject(r.body);
    auto token = d ? wire::GetCount(*d, "epoch") : std::nullopt;
    auto session = d ? wire::GetCount(*d, "tenure") : std::nullopt;
    if (!token || !session) co_return Answer(400, "{}");
    if (*token < token_ || *session != tenure_) co_return Answer(409, Report());
    token_ = *token;
    Execute((*d)["orders"]);
    co_return Answer(200, Report());
  }

  Cloud& cloud_;
  const model::CloudMachine listed_;
  async::Scope life_;
  net::HttpServer server_;
  net::HttpClient client_;
  uint64_t tenure_ = 1;
  uint64_t tick_ = 0;
  uint64_t token_ = 0;
  std::map<model::TaskId, Running> pieces_;
};

Cloud::Cloud(async::Scope& scope, Options options)
    : scope_(scope),
      options_(std::move(options)),
      server_(scope, kLimits, [this](wire::HttpRequest r) { return Handle(std::move(r)); }) {}

Cloud::~Cloud() = default;

int Cloud::Running(const std::string& job) const {
  int n = 0;
  for (const auto& [name, m] : machines_) n += m->CountOf(job);
  return n;
}

int Cloud::RunningOf(const std::string& prefix) const {
  int n = 0;
  for (const auto& [name, m] : machines_) n += m->CountOfPrefix(prefix);
  return n;
}

void Cloud::OnStart(const Worker* where, const model::TaskId& task) {
  if (on_start_) on_start_(task);
  ++starts_;
  for (const auto& [name, other] : machines_) {
    if (other.get() != where && other->Has(task)) ++started_twice_;
  }
}

async::Task<wire::HttpResponse> Cloud::Handle(wire::HttpRequest r) {
  const std::string path(r.path());
  if (path == "/flavors") {
    model::MachineType f;
    f.name = "c4";
    f.cpus = 4;
    f.memory_gb = 16;
    f.fetch_gb_per_s = 1;
    f.price = 0.2;
    f.spot_price = 0.1;
    f.boot_s = 1;
    f.zones = {"a", "b"};
    co_return Answer(200, wire::WriteMachineTypes({f}));
  }
  if (path == "/rentals" && r.method == "GET") {
    wire::JsonWriter w;
    w.StartObject();
    w.Field("hosts").StartArray();
    for (const auto& [name, m] : machines_) {
      w.StartObject();
      w.Field("id").Text(name);
      w.Field("endpoint").Text(m->listed().endpoint);
      w.Field("flavor").Text(m->listed().machine_type);
      w.Field("hall").Text(m->listed().zone);
      w.Field("lendable").Bool(m->listed().spot);
      w.Field("phase").Text("running");
      w.Field("heldS").Double(0);
      w.EndObject();
    }
    w.EndArray();
    w.Field("truncated").Bool(false);
    w.EndObject();
    co_return Answer(200, w.Take());
  }
  auto d = wire::ParseObject(r.body);
  if (!d) co_return Answer(400, "{}");
  if (path == "/rentals") {
    const std::string request = *wire::GetText(*d, "hire");
    if (answers_.contains(request)) co_return Answer(200, answers_[request]);
    std::vector<std::string> names;
    for (uint64_t i = 0; i < *wire::GetCount(*d, "howMany") && machines_.size() < 20; ++i) {
      model::CloudMachine l;
      std::string number = std::to_string(next_);
      l.machine = "vm-" + std::string(6 - number.size(), '0') + number;
      l.endpoint = "127.0.0.1:" + std::to_string(options_.first_port + next_ % options_.ports);
      l.machine_type = "c4";
      l.zone = *wire::GetText(*d, "hall");
      l.spot = *wire::GetFlag(*d, "lendable");
      ++next_;
      auto worker = std::make_unique<Worker>(*this, l);
      if (!worker->Start()) continue;
      names.push_back(l.machine);
      machines_[l.machine] = std::move(worker);
    }
    answers_[request] = wire::WriteScaleInRequest(names);
    co_return Answer(200, answers_[request]);
  }
  for (const auto& v : (*d)["hosts"].GetArray()) {
    auto it = machines_.find(v.GetString());
    if (it == machines_.end()) continue;
    it->second->End();
    // Its routines unwind later; until then the object must stay.
    gone_.push_back(std::move(it->second));
    machines_.erase(it);
  }
  co_return Answer(200, "{}");
}

}  // namespace hallpier::standins
