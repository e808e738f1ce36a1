#include "fakes/fake_state_service.h"

#include <algorithm>
#include <charconv>

#include "fakes/http_support.h"
#include "wire/url_query.h"
#include "wire/user_codec.h"

namespace hallpier::testing_support {
namespace {

constexpr std::string_view kStorePrefix = "/store/";
constexpr std::string_view kLeases = "/holds";
constexpr std::string_view kLeasePrefix = "/holds/";
constexpr double kExpireTickS = 0.02;
// Longer than anybody waits for an answer.
constexpr double kNeverS = 30;
constexpr double kMsPerS = 1000;

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> out;
  for (auto& [name, value] : wire::ParseQuery(target)) out[name] = value;
  return out;
}

uint64_t Number(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

void WriteEntry(wire::JsonWriter& writer, const std::string& key, const std::string& value,
                uint64_t version) {
  writer.StartObject();
  writer.Field("key").Text(key);
  writer.Field("data").Raw(value);
  writer.Field("stamp").Uint64(version);
  writer.EndObject();
}

std::string Revision(uint64_t revision) {
  wire::JsonWriter writer;
  writer.StartObject();
  writer.Field("rev").Uint64(revision);
  writer.EndObject();
  return writer.Take();
}

}  // namespace

FakeStateService::FakeStateService(async::Scope& scope)
    : scope_(scope),
      server_(scope, kFakeServerLimits,
              [this](wire::HttpRequest request) { return Handle(std::move(request)); }),
      apart_(scope, kFakeServerLimits,
             [this](wire::HttpRequest request) { return HandleApart(std::move(request)); }) {
  scope_.Spawn(ExpireLoop());
}

void FakeStateService::SetOutage(bool on) {
  outage_ = on;
  if (on) return;
  // After an outage every lease has its full time again.
  for (auto& [lease_id, lease] : leases_) lease.until = scope_.loop().Now() + lease.ttl_s;
}

async::Task<> FakeStateService::ExpireLoop() {
  while (!scope_.cancelled()) {
    async::Sleep pause(scope_, kExpireTickS);
    co_await pause;
    std::vector<uint64_t> over;
    for (const auto& [lease_id, lease] : leases_) {
      if (!outage_ && scope_.loop().Now() > lease.until) over.push_back(lease_id);
    }
    for (uint64_t lease_id : over) EndLease(lease_id);
  }
}

void FakeStateService::Put(const std::string& key, const std::string& value, uint64_t lease_id) {
  if (value.empty()) {
    if (entries_.erase(key) == 0) return;
  } else {
    entries_[key] = {value, revision_, lease_id};
  }
  changes_.push_back({key, value, revision_});
  if (on_write_) on_write_(key, value);
}

std::string FakeStateService::Value(const std::string& key) const {
  auto it = entries_.find(key);
  return it == entries_.end() ? std::string() : it->second.value;
}

std::optional<wire::HttpResponse> FakeStateService::Refuse(const wire::JsonValue& writes) {
  bool large = limits_.txn_ops > 0 && writes.Size() > limits_.txn_ops;
  for (const auto& write : writes.GetArray()) {
    const bool put = wire::Find(write, "put") != nullptr;
    large = large || (put && limits_.value_bytes > 0 &&
                      wire::Dump(write["data"]).size() > limits_.value_bytes);
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

void FakeStateService::EndLease(uint64_t lease_id) {
  leases_.erase(lease_id);
  std::vector<std::string> attached;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease_id == lease_id) attached.push_back(key);
  }
  if (attached.empty()) return;
  ++revision_;
  for (const auto& key : attached) Put(key, "", 0);
  changed_.Notify();
}

wire::HttpResponse FakeStateService::Commit(const std::string& body) {
  auto request = wire::ParseObject(body);
  if (!request) return Answer(400, "{}");
  wire::JsonWriter failed;
  failed.StartObject();
  failed.Field("failed").StartArray();
  bool hold = true;
  for (const auto& precondition : (*request)["guards"].GetArray()) {
    const std::string key = *wire::GetText(precondition, "key");
    auto it = entries_.find(key);
    const uint64_t version = it == entries_.end() ? 0 : it->second.version;
    if (version == *wire::GetCount(precondition, "stamp")) continue;
    hold = false;
    failed.Text(key);
  }
  failed.EndArray();
  failed.Field("rev").Uint64(revision_);
  failed.EndObject();
  const wire::JsonValue& writes = (*request)["then"];
  if (auto refused = Refuse(writes)) return *refused;
  if (!hold) return Answer(409, failed.Take());
  for (const auto& write : writes.GetArray()) {
    auto lease_id = wire::GetCount(write, "permit");
    if (lease_id && !leases_.contains(*lease_id)) {
      return Answer(400, R"({"error":"no such lease"})");
    }
  }
  Apply(writes);
  return Answer(200, Revision(revision_));
}

void FakeStateService::Apply(const wire::JsonValue& writes) {
  ++revision_;
  for (const auto& write : writes.GetArray()) {
    if (auto put = wire::GetText(write, "put")) {
      Put(*put, wire::Dump(write["data"]), wire::GetCount(write, "permit").value_or(0));
    } else {
      Put(*wire::GetText(write, "drop"), "", 0);
    }
  }
  changed_.Notify();
}

bool FakeStateService::Writes(const std::string& body, const std::string& prefix) {
  auto request = wire::ParseObject(body);
  if (!request) return false;
  const auto& writes = (*request)["then"];
  return std::any_of(writes.Begin(), writes.End(), [&](const wire::JsonValue& write) {
    return wire::GetText(write, "put").value_or("").starts_with(prefix);
  });
}

async::Task<wire::HttpResponse> FakeStateService::AnswerTransaction(std::string body) {
  if (delay_s_ > 0 && Writes(body, delay_prefix_)) {
    async::Sleep pause(scope_, delay_s_);
    co_await pause;
  }
  if (lose_count_ == 0 || !Writes(body, lose_prefix_)) co_return Commit(body);
  --lose_count_;
  ++lost_so_far_;
  if (lost_ == Execution::kImmediate) {
    Commit(body);
  } else {
    late_.push_back(std::move(body));
  }
  async::Sleep never(scope_, kNeverS);
  co_await never;
  co_return Answer(503, "{}");
}

int FakeStateService::ExecuteDeferred() {
  int done = 0;
  for (const std::string& body : std::exchange(late_, {})) {
    if (Commit(body).status == 200) ++done;
  }
  return done;
}

wire::HttpResponse FakeStateService::List(const std::string& target) const {
  auto query = Query(target);
  wire::JsonWriter writer;
  writer.StartObject();
  writer.Field("entries").StartArray();
  for (const auto& [key, entry] : entries_) {
    if (key.starts_with(query["starts"]) && key > query["from"]) {
      WriteEntry(writer, key, entry.value, entry.version);
    }
  }
  writer.EndArray();
  writer.Field("truncated").Bool(false);
  writer.Field("rev").Uint64(revision_);
  writer.EndObject();
  return Answer(200, writer.Take());
}

wire::HttpResponse FakeStateService::Grant(const std::string& body) {
  auto request = wire::ParseObject(body);
  const double ttl_s = static_cast<double>(wire::GetCount(*request, "ttlMs").value_or(0)) / kMsPerS;
  leases_[++next_lease_id_] = {ttl_s, scope_.loop().Now() + ttl_s};
  wire::JsonWriter writer;
  writer.StartObject();
  writer.Field("permit").Uint64(next_lease_id_);
  writer.EndObject();
  return Answer(200, writer.Take());
}

wire::HttpResponse FakeStateService::HandleLease(const wire::HttpRequest& request) {
  const std::string path(request.path());
  if (path == kLeases) return Grant(request.body);
  const uint64_t lease_id = Number(path.substr(kLeasePrefix.size()));
  auto lease = leases_.find(lease_id);
  if (lease == leases_.end()) return Answer(404, "{}");
  if (request.method == "DELETE") {
    EndLease(lease_id);
  } else {
    lease->second.until = scope_.loop().Now() + lease->second.ttl_s;
  }
  return Answer(200, "{}");
}

FakeStateService::Changes FakeStateService::ChangesAfter(uint64_t from,
                                                         const std::string& prefix) const {
  bool any = false;
  wire::JsonWriter writer;
  writer.StartObject();
  writer.Field("rev").Uint64(revision_);
  writer.Field("news").StartArray();
  for (const auto& change : changes_) {
    if (outage_ || change.version <= from || !change.key.starts_with(prefix)) continue;
    any = true;
    writer.StartObject();
    writer.Field(change.value.empty() ? "drop" : "put").Text(change.key);
    if (!change.value.empty()) writer.Field("data").Raw(change.value);
    writer.Field("stamp").Uint64(change.version);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return {writer.Take(), any};
}

async::Task<wire::HttpResponse> FakeStateService::Follow(std::string target) {
  auto query = Query(target);
  const uint64_t from = Number(query["from"]);
  const double until =
      scope_.loop().Now() + static_cast<double>(Number(query["blockMs"])) / kMsPerS;
  while (true) {
    Changes changes = ChangesAfter(from, query["starts"]);
    const double left = until - scope_.loop().Now();
    if (changes.any || left <= 0 || scope_.cancelled()) {
      if (watch_lag_s_ > 0) {
        async::Sleep lag(scope_, watch_lag_s_);
        co_await lag;
      }
      co_return Answer(200, std::move(changes.body));
    }
    auto wait = changed_.Await(scope_, left);
    co_await wait;
  }
}

async::Task<wire::HttpResponse> FakeStateService::HandleApart(wire::HttpRequest request) {
  if (cut_) co_return Answer(503, "{}");
  wire::HttpResponse answer = co_await Handle(std::move(request));
  if (cut_) co_return Answer(503, "{}");  // a watch that was open when the cut began
  co_return answer;
}

async::Task<wire::HttpResponse> FakeStateService::Handle(wire::HttpRequest request) {
  ++requests_;
  if (outage_) co_return Answer(503, "{}");
  const std::string path(request.path());
  if (path == "/follow") {
    wire::HttpResponse answer = co_await Follow(request.target);
    co_return answer;
  }
  if (path == "/txn") {
    wire::HttpResponse answer = co_await AnswerTransaction(request.body);
    co_return answer;
  }
  if (path.starts_with(kLeases)) co_return HandleLease(request);
  if (path == "/store") co_return List(request.target);
  auto it = entries_.find(path.substr(std::min(path.size(), kStorePrefix.size())));
  if (it == entries_.end()) co_return Answer(404, Revision(revision_));
  wire::JsonWriter writer;
  WriteEntry(writer, it->first, it->second.value, it->second.version);
  co_return Answer(200, writer.Take());
}

}  // namespace hallpier::testing_support
