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
constexpr double kLeaseCheckIntervalS = 0.02;
// Longer than any client waits for an answer.
constexpr double kBeyondClientTimeoutS = 30;
constexpr double kMsPerS = 1000;

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> out;
  for (auto& [name, value] : wire::ParseQuery(target)) out[name] = value;
  return out;
}

uint64_t ParseNumber(const std::string& text) {
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

std::string RevisionBody(uint64_t revision) {
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
      secondary_server_(scope, kFakeServerLimits, [this](wire::HttpRequest request) {
        return HandleSecondary(std::move(request));
      }) {
  scope_.Spawn(ExpireLoop());
}

void FakeStateService::SetOutage(bool outage) {
  outage_ = outage;
  if (outage) return;
  // After an outage every lease has its full duration again.
  for (auto& [lease_id, lease] : leases_) lease.expires_at = scope_.loop().Now() + lease.ttl_s;
}

async::Task<> FakeStateService::ExpireLoop() {
  while (!scope_.cancelled()) {
    async::Sleep pause(scope_, kLeaseCheckIntervalS);
    co_await pause;
    std::vector<uint64_t> expired;
    for (const auto& [lease_id, lease] : leases_) {
      if (!outage_ && scope_.loop().Now() > lease.expires_at) expired.push_back(lease_id);
    }
    for (uint64_t lease_id : expired) EndLease(lease_id);
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

std::optional<wire::HttpResponse> FakeStateService::CheckLimits(const wire::JsonValue& writes) {
  bool too_large = limits_.txn_ops > 0 && writes.Size() > limits_.txn_ops;
  for (const auto& write : writes.GetArray()) {
    const bool put = wire::Find(write, "put") != nullptr;
    too_large = too_large || (put && limits_.value_bytes > 0 &&
                              wire::Dump(write["data"]).size() > limits_.value_bytes);
  }
  int status = too_large ? 400 : 0;
  if (!too_large && limits_.write_rps > 0) {
    // A token bucket that allows bursts of one second's writes.
    const double now = scope_.loop().Now();
    write_tokens_ =
        std::min(limits_.write_rps, write_tokens_ + (now - write_tokens_at_) * limits_.write_rps);
    write_tokens_at_ = now;
    if (write_tokens_ < writes.Size()) status = 429;
    if (status == 0) write_tokens_ -= writes.Size();
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
  bool all_hold = true;
  for (const auto& precondition : (*request)["guards"].GetArray()) {
    const std::string key = *wire::GetText(precondition, "key");
    auto it = entries_.find(key);
    const uint64_t version = it == entries_.end() ? 0 : it->second.version;
    if (version == *wire::GetCount(precondition, "stamp")) continue;
    all_hold = false;
    failed.Text(key);
  }
  failed.EndArray();
  failed.Field("rev").Uint64(revision_);
  failed.EndObject();
  const wire::JsonValue& writes = (*request)["then"];
  if (auto refused = CheckLimits(writes)) return *refused;
  if (!all_hold) return Answer(409, failed.Take());
  for (const auto& write : writes.GetArray()) {
    auto lease_id = wire::GetCount(write, "permit");
    if (lease_id && !leases_.contains(*lease_id)) {
      return Answer(400, R"({"error":"no such lease"})");
    }
  }
  Apply(writes);
  return Answer(200, RevisionBody(revision_));
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

bool FakeStateService::WritesPrefix(const std::string& body, const std::string& prefix) {
  auto request = wire::ParseObject(body);
  if (!request) return false;
  const auto& writes = (*request)["then"];
  return std::any_of(writes.Begin(), writes.End(), [&](const wire::JsonValue& write) {
    return wire::GetText(write, "put").value_or("").starts_with(prefix);
  });
}

async::Task<wire::HttpResponse> FakeStateService::AnswerTransaction(std::string body) {
  if (delay_s_ > 0 && WritesPrefix(body, delay_prefix_)) {
    async::Sleep pause(scope_, delay_s_);
    co_await pause;
  }
  if (lose_count_ == 0 || !WritesPrefix(body, lose_prefix_)) {
    wire::HttpResponse answer = Commit(body);
    if (copy_delay_s_ > 0 && answer.status == kOk) scope_.Spawn(DeliverCopy(std::move(body)));
    co_return answer;
  }
  --lose_count_;
  ++lost_answers_;
  if (lost_answer_execution_ == Execution::kImmediate) {
    Commit(body);
  } else {
    deferred_.push_back(std::move(body));
  }
  async::Sleep never(scope_, kBeyondClientTimeoutS);
  co_await never;
  co_return Answer(503, "{}");
}

async::Task<> FakeStateService::DeliverCopy(std::string body) {
  async::Sleep pause(scope_, copy_delay_s_);
  co_await pause;
  if (scope_.cancelled() || outage_) co_return;
  ++copies_;
  if (Commit(body).status != kOk) co_return;
  auto request = wire::ParseObject(body);
  const wire::JsonValue& writes = (*request)["then"];
  if (writes.Empty()) co_return;
  const auto put = wire::GetText(writes[0], "put");
  executed_copies_.push_back(put ? *put : *wire::GetText(writes[0], "drop"));
}

int FakeStateService::ExecuteDeferred() {
  int succeeded = 0;
  for (const std::string& body : std::exchange(deferred_, {})) {
    if (Commit(body).status == 200) ++succeeded;
  }
  return succeeded;
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
  const uint64_t lease_id = ParseNumber(path.substr(kLeasePrefix.size()));
  auto lease = leases_.find(lease_id);
  if (lease == leases_.end()) return Answer(404, "{}");
  if (request.method == "DELETE") {
    EndLease(lease_id);
  } else {
    lease->second.expires_at = scope_.loop().Now() + lease->second.ttl_s;
  }
  return Answer(200, "{}");
}

FakeStateService::WatchAnswer FakeStateService::WatchAnswerAfter(uint64_t from,
                                                                 const std::string& prefix) const {
  bool has_events = false;
  wire::JsonWriter writer;
  writer.StartObject();
  writer.Field("rev").Uint64(revision_);
  writer.Field("news").StartArray();
  for (const auto& change : changes_) {
    if (outage_ || change.version <= from || !change.key.starts_with(prefix)) continue;
    has_events = true;
    writer.StartObject();
    writer.Field(change.value.empty() ? "drop" : "put").Text(change.key);
    if (!change.value.empty()) writer.Field("data").Raw(change.value);
    writer.Field("stamp").Uint64(change.version);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return {writer.Take(), has_events};
}

async::Task<wire::HttpResponse> FakeStateService::Follow(std::string target) {
  auto query = Query(target);
  const uint64_t from = ParseNumber(query["from"]);
  const double deadline =
      scope_.loop().Now() + static_cast<double>(ParseNumber(query["blockMs"])) / kMsPerS;
  while (true) {
    WatchAnswer changes = WatchAnswerAfter(from, query["starts"]);
    const double remaining_s = deadline - scope_.loop().Now();
    if (changes.has_events || remaining_s <= 0 || scope_.cancelled()) {
      if (watch_lag_s_ > 0) {
        async::Sleep lag(scope_, watch_lag_s_);
        co_await lag;
      }
      co_return Answer(200, std::move(changes.body));
    }
    auto wait = changed_.Await(scope_, remaining_s);
    co_await wait;
  }
}

async::Task<wire::HttpResponse> FakeStateService::HandleSecondary(wire::HttpRequest request) {
  if (secondary_cut_) co_return Answer(503, "{}");
  wire::HttpResponse answer = co_await Handle(std::move(request));
  // A watch that was open when the address was cut off is refused as well.
  if (secondary_cut_) co_return Answer(503, "{}");
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
  if (it == entries_.end()) co_return Answer(404, RevisionBody(revision_));
  wire::JsonWriter writer;
  WriteEntry(writer, it->first, it->second.value, it->second.version);
  co_return Answer(200, writer.Take());
}

}  // namespace hallpier::testing_support
