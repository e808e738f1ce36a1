#include "wire/state_codec.h"

#include "wire/json.h"

namespace hallpier::wire {
namespace {

std::optional<model::KeyValue> ReadKeyValueObject(const JsonValue& v) {
  auto key = GetText(v, "key");
  auto version = GetCount(v, "stamp");
  auto data = v.FindMember("data");
  if (!key || !version || data == v.MemberEnd()) return std::nullopt;
  return model::KeyValue{std::move(*key), Dump(data->value), *version};
}

}  // namespace

std::optional<model::KeyValue> ReadKeyValue(std::string_view body) {
  auto d = ParseObject(body);
  if (!d) return std::nullopt;
  return ReadKeyValueObject(*d);
}

std::optional<model::KeyValueList> ReadKeyValueList(std::string_view body) {
  auto d = ParseObject(body);
  if (!d) return std::nullopt;
  const JsonValue* list = Find(*d, "entries");
  auto revision = GetCount(*d, "rev");
  if (list == nullptr || !list->IsArray() || !revision) return std::nullopt;
  model::KeyValueList out;
  out.revision = *revision;
  out.more = GetFlag(*d, "truncated").value_or(false);
  for (const auto& v : list->GetArray()) {
    if (!v.IsObject()) return std::nullopt;
    auto e = ReadKeyValueObject(v);
    if (!e) return std::nullopt;
    out.entries.push_back(std::move(*e));
  }
  return out;
}

std::string WriteTransaction(const std::vector<model::Precondition>& preconditions,
                             const std::vector<model::KeyWrite>& writes) {
  JsonWriter w;
  w.StartObject();
  w.Field("guards").StartArray();
  for (const model::Precondition& g : preconditions) {
    w.StartObject();
    w.Field("key").Text(g.key);
    w.Field("stamp").Uint64(g.version);
    w.EndObject();
  }
  w.EndArray();
  w.Field("then").StartArray();
  for (const model::KeyWrite& o : writes) {
    w.StartObject();
    if (o.value.empty()) {
      w.Field("drop").Text(o.key);
    } else {
      w.Field("put").Text(o.key);
      w.Field("data").Raw(o.value);
      if (o.lease_id != 0) w.Field("permit").Uint64(o.lease_id);
    }
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return w.Take();
}

std::optional<model::WatchResponse> ReadWatchResponse(std::string_view body) {
  auto d = ParseObject(body);
  if (!d) return std::nullopt;
  auto revision = GetCount(*d, "rev");
  const JsonValue* list = Find(*d, "news");
  if (!revision) return std::nullopt;
  model::WatchResponse out;
  out.revision = *revision;
  if (list == nullptr) return out;
  if (!list->IsArray()) return std::nullopt;
  for (const auto& v : list->GetArray()) {
    auto version = GetCount(v, "stamp");
    auto put = GetText(v, "put");
    auto drop = GetText(v, "drop");
    if (!version || put.has_value() == drop.has_value()) return std::nullopt;
    model::WatchEvent c;
    c.version = *version;
    if (drop) {
      c.key = std::move(*drop);
    } else {
      auto data = v.FindMember("data");
      if (data == v.MemberEnd()) return std::nullopt;
      c.key = std::move(*put);
      c.value = Dump(data->value);
    }
    out.events.push_back(std::move(c));
  }
  return out;
}

std::optional<uint64_t> ReadRevision(std::string_view body) {
  auto d = ParseObject(body);
  return d ? GetCount(*d, "rev") : std::nullopt;
}

std::vector<std::string> ReadFailedPreconditions(std::string_view body) {
  auto d = ParseObject(body);
  return d ? GetTexts(Find(*d, "failed")) : std::vector<std::string>();
}

std::string WriteLeaseRequest(double ttl_s) {
  JsonWriter w;
  w.StartObject();
  w.Field("ttlMs").Uint64(static_cast<uint64_t>(ttl_s * 1000));
  w.EndObject();
  return w.Take();
}

std::optional<uint64_t> ReadLeaseId(std::string_view body) {
  auto d = ParseObject(body);
  return d ? GetCount(*d, "permit") : std::nullopt;
}

}  // namespace hallpier::wire
