#include "quota/allocation_record.h"

#include "wire/json.h"

namespace hallpier::quota {
namespace {

constexpr unsigned kResourceKinds = 2;  // cpus, gpus

std::optional<Amount> ReadAmount(const wire::JsonValue& value) {
  if (!value.IsArray() || value.Size() != kResourceKinds) return std::nullopt;
  for (const wire::JsonValue& number : value.GetArray()) {
    if (!number.IsNumber() || !std::isfinite(number.GetDouble()) || number.GetDouble() < 0) {
      return std::nullopt;
    }
  }
  return Amount{value[0].GetDouble(), value[1].GetDouble()};
}

bool IsEmpty(const Amount& amount) { return amount.cpus <= 0 && amount.gpus <= 0; }

}  // namespace

// In the stored format the field "grant" is the allocation epoch, and "lent" holds the allocated
// amounts.
std::string WriteAllocation(const AllocationRecord& record) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("grant").Uint64(record.allocation_epoch);
  w.Field("lent").StartObject();
  for (const auto& [team, amount] : record.allocated) {
    if (IsEmpty(amount)) continue;
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

std::optional<AllocationRecord> ReadAllocation(std::string_view json) {
  auto document = wire::ParseObject(json);
  if (!document) return std::nullopt;
  auto allocation_epoch = wire::GetCount(*document, "grant");
  const wire::JsonValue* allocated = wire::Find(*document, "lent");
  if (!allocation_epoch || allocated == nullptr || !allocated->IsObject()) return std::nullopt;
  AllocationRecord record;
  record.allocation_epoch = *allocation_epoch;
  for (const auto& member : allocated->GetObject()) {
    auto amount = ReadAmount(member.value);
    if (!amount) return std::nullopt;
    record.allocated[std::string(member.name.GetString(), member.name.GetStringLength())] = *amount;
  }
  return record;
}

AllocationRecord TrimToSize(AllocationRecord record, size_t max_value_bytes) {
  std::erase_if(record.allocated, [](const auto& entry) { return IsEmpty(entry.second); });
  while (!record.allocated.empty() && WriteAllocation(record).size() > max_value_bytes) {
    auto smallest = std::min_element(
        record.allocated.begin(), record.allocated.end(), [](const auto& a, const auto& b) {
          return a.second.cpus + a.second.gpus < b.second.cpus + b.second.gpus;
        });
    record.allocated.erase(smallest);
  }
  return record;
}

}  // namespace hallpier::quota
