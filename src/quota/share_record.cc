#include "quota/share_record.h"

#include "wire/json.h"

namespace hallpier::quota {
namespace {

constexpr unsigned kKinds = 2;  // cpus, gpus

std::optional<Amount> ReadAmount(const wire::JsonValue& value) {
  if (!value.IsArray() || value.Size() != kKinds) return std::nullopt;
  for (const wire::JsonValue& number : value.GetArray()) {
    if (!number.IsNumber() || !std::isfinite(number.GetDouble()) || number.GetDouble() < 0) {
      return std::nullopt;
    }
  }
  return Amount{value[0].GetDouble(), value[1].GetDouble()};
}

bool Empty(const Amount& amount) { return amount.cpus <= 0 && amount.gpus <= 0; }

}  // namespace

std::string WriteShare(const ShareRecord& record) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("grant").Uint64(record.grant);
  w.Field("lent").StartObject();
  for (const auto& [team, amount] : record.lent) {
    if (Empty(amount)) continue;
    w.Text(team);
    w.StartArray();
    w.Double(amount.cpus);
    w.Double(amount.gpus);
    w.EndArray();
  }
  w.EndObject();
  w.EndObject();
  return w.Take();
}

std::optional<ShareRecord> ReadShare(std::string_view json) {
  auto document = wire::ParseObject(json);
  if (!document) return std::nullopt;
  auto grant = wire::GetCount(*document, "grant");
  const wire::JsonValue* lent = wire::Find(*document, "lent");
  if (!grant || lent == nullptr || !lent->IsObject()) return std::nullopt;
  ShareRecord record;
  record.grant = *grant;
  for (const auto& member : lent->GetObject()) {
    auto amount = ReadAmount(member.value);
    if (!amount) return std::nullopt;
    record.lent[std::string(member.name.GetString(), member.name.GetStringLength())] = *amount;
  }
  return record;
}

ShareRecord Trimmed(ShareRecord record, size_t value_bytes) {
  std::erase_if(record.lent, [](const auto& entry) { return Empty(entry.second); });
  while (!record.lent.empty() && WriteShare(record).size() > value_bytes) {
    auto smallest =
        std::min_element(record.lent.begin(), record.lent.end(), [](const auto& a, const auto& b) {
          return a.second.cpus + a.second.gpus < b.second.cpus + b.second.gpus;
        });
    record.lent.erase(smallest);
  }
  return record;
}

}  // namespace hallpier::quota
