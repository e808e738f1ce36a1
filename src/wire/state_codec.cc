#include "wire/state_codec.h"

#include "wire/json.h"

namespace hallpier::wire {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

std::optional<model::KeyValue> ReadKeyValueObject(const JsonValue& object) {
  auto key = GetText(object, "key");
  auto version = GetCount(object, "stamp");
  auto data = object.FindMember("data");
  if (!key || !version || data == object.MemberEnd()) return std::nullopt;
  return model::KeyValue{std::move(*key), Dump(data->value), *version};
}

// A write has its key in "put" and its value in "data"; a deletion has its key in "drop".
std::optional<model::WatchEvent> ReadWatchEvent(const JsonValue& object) {
  auto version = GetCount(object, "stamp");
  auto put_key = GetText(object, "put");
  auto drop_key = GetText(object, "drop");
  if (!version || put_key.has_value() == drop_key.has_value()) return std::nullopt;
  if (drop_key) return model::WatchEvent{std::move(*drop_key), {}, *version};
  auto data = object.FindMember("data");
  if (data == object.MemberEnd()) return std::nullopt;
  return model::WatchEvent{std::move(*put_key), Dump(data->value), *version};
}

}  // namespace

std::optional<model::KeyValue> ReadKeyValue(std::string_view body) {
  auto document = ParseObject(body);
  if (!document) return std::nullopt;
  return ReadKeyValueObject(*document);
}

std::optional<model::KeyValueList> ReadKeyValueList(std::string_view body) {
  auto document = ParseObject(body);
  if (!document) return std::nullopt;
  const JsonValue* list = Find(*document, "entries");
  auto revision = GetCount(*document, "rev");
  if (list == nullptr || !list->IsArray() || !revision) return std::nullopt;
  model::KeyValueList page;
  page.revision = *revision;
  page.more = GetFlag(*document, "truncated").value_or(false);
  for (const JsonValue& object : list->GetArray()) {
    if (!object.IsObject()) return std::nullopt;
    auto entry = ReadKeyValueObject(object);
    if (!entry) return std::nullopt;
    page.entries.push_back(std::move(*entry));
  }
  return page;
}

std::string WriteTransaction(const std::vector<model::Precondition>& preconditions,
                             const std::vector<model::KeyWrite>& writes) {
  JsonWriter writer;
  writer.StartObject();
  writer.Field("guards").StartArray();
  for (const model::Precondition& precondition : preconditions) {
    writer.StartObject();
    writer.Field("key").Text(precondition.key);
    writer.Field("stamp").Uint64(precondition.version);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Field("then").StartArray();
  for (const model::KeyWrite& write : writes) {
    writer.StartObject();
    if (write.value.empty()) {
      writer.Field("drop").Text(write.key);
    } else {
      writer.Field("put").Text(write.key);
      writer.Field("data").Raw(write.value);
      if (write.lease_id != 0) writer.Field("permit").Uint64(write.lease_id);
    }
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return writer.Take();
}

std::optional<model::WatchResponse> ReadWatchResponse(std::string_view body) {
  auto document = ParseObject(body);
  if (!document) return std::nullopt;
  auto revision = GetCount(*document, "rev");
  if (!revision) return std::nullopt;
  model::WatchResponse response;
  response.revision = *revision;
  const JsonValue* list = Find(*document, "news");
  if (list == nullptr) return response;
  if (!list->IsArray()) return std::nullopt;
  for (const JsonValue& entry : list->GetArray()) {
    auto event = ReadWatchEvent(entry);
    if (!event) return std::nullopt;
    response.events.push_back(std::move(*event));
  }
  return response;
}

std::optional<uint64_t> ReadRevision(std::string_view body) {
  auto document = ParseObject(body);
  return document ? GetCount(*document, "rev") : std::nullopt;
}

std::vector<std::string> ReadFailedPreconditions(std::string_view body) {
  auto document = ParseObject(body);
  return document ? GetTexts(Find(*document, "failed")) : std::vector<std::string>();
}

std::string WriteLeaseRequest(double ttl_s) {
  JsonWriter writer;
  writer.StartObject();
  writer.Field("ttlMs").Uint64(static_cast<uint64_t>(ttl_s * kMillisecondsPerSecond));
  writer.EndObject();
  return writer.Take();
}

std::optional<uint64_t> ReadLeaseId(std::string_view body) {
  auto document = ParseObject(body);
  return document ? GetCount(*document, "permit") : std::nullopt;
}

}  // namespace hallpier::wire
