#include "store/machine_name_codec.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "wire/digits.h"

namespace hallpier::store {
namespace {

// So that all numbers of a family fit 64 bits with room to spare.
constexpr size_t kMaxNumberDigits = 15;
constexpr uint64_t kNumberLimit = 1'000'000'000'000'000;
// Stem, digits, lowest number, count.
constexpr rapidjson::SizeType kFamilyFields = 4;

struct NumberRange {
  uint64_t lowest = 0;
  uint64_t highest = 0;
};

bool IsDigit(char character) { return character >= '0' && character <= '9'; }

}  // namespace

MachineNameCodec::Name MachineNameCodec::Split(std::string_view machine) {
  size_t digits = 0;
  while (digits < std::min(machine.size(), kMaxNumberDigits) &&
         IsDigit(machine[machine.size() - digits - 1])) {
    ++digits;
  }
  const size_t stem_size = machine.size() - digits;
  Name name{{std::string(machine.substr(0, stem_size)), digits}, 0};
  const std::string_view number = machine.substr(stem_size);
  std::from_chars(number.data(), number.data() + number.size(), name.number);
  return name;
}

MachineNameCodec MachineNameCodec::For(const TaskGroup& task_group) {
  std::map<FamilyId, NumberRange> ranges;
  for (const auto& [index, task] : task_group.open) {
    if (task.machine.empty()) continue;
    const Name name = Split(task.machine);
    auto [entry, is_new] = ranges.try_emplace(name.family, NumberRange{name.number, name.number});
    NumberRange& range = entry->second;
    range.lowest = std::min(range.lowest, name.number);
    range.highest = std::max(range.highest, name.number);
  }
  MachineNameCodec codec;
  for (const auto& [id, range] : ranges) {
    codec.Add({id, range.lowest, range.highest - range.lowest + 1});
  }
  return codec;
}

void MachineNameCodec::Add(Family family) {
  family.first_code = codes_ + 1;
  codes_ += family.count;
  index_of_[family.id] = families_.size();
  families_.push_back(std::move(family));
}

void MachineNameCodec::Write(wire::JsonWriter& json) const {
  json.Field("hosts").StartArray();
  for (const Family& family : families_) {
    json.StartArray();
    json.Text(family.id.stem);
    json.Uint64(family.id.digits);
    json.Uint64(family.lowest);
    json.Uint64(family.count);
    json.EndArray();
  }
  json.EndArray();
}

std::optional<DecodeError> MachineNameCodec::Check(const Family& family) {
  if (family.id.digits > kMaxNumberDigits || family.lowest >= kNumberLimit ||
      family.count > kNumberLimit) {
    return DecodeError{"hosts", "numbers of names out of range"};
  }
  const bool no_number = family.id.digits == 0;
  if (no_number && (family.id.stem.empty() || family.lowest != 0 || family.count != 1)) {
    return DecodeError{"hosts", "a name without a number stands for one machine"};
  }
  const uint64_t highest = family.lowest + family.count - 1;
  if (std::to_string(highest).size() > std::max<size_t>(family.id.digits, 1)) {
    return DecodeError{"hosts", "numbers have more digits than the name"};
  }
  return std::nullopt;
}

DecodeResult<MachineNameCodec> MachineNameCodec::Read(const wire::JsonValue& record) {
  const wire::JsonValue* hosts = wire::Find(record, "hosts");
  if (hosts == nullptr || !hosts->IsArray()) return DecodeError{"hosts", "missing, or no list"};
  MachineNameCodec codec;
  for (const auto& fields : hosts->GetArray()) {
    if (!fields.IsArray() || fields.Size() != kFamilyFields || !fields[0].IsString() ||
        !fields[1].IsUint64() || !fields[2].IsUint64() || !fields[3].IsUint64()) {
      return DecodeError{"hosts", "no family of names"};
    }
    std::string stem(fields[0].GetString(), fields[0].GetStringLength());
    Family family{
        {std::move(stem), fields[1].GetUint64()}, fields[2].GetUint64(), fields[3].GetUint64()};
    if (auto error = Check(family)) return std::move(*error);
    codec.Add(std::move(family));
  }
  return codec;
}

size_t MachineNameCodec::digits_per_code() const { return wire::DigitsFor(codes_); }

uint64_t MachineNameCodec::CodeOf(const std::string& machine) const {
  if (machine.empty()) return 0;
  const Name name = Split(machine);
  const Family& family = families_[index_of_.at(name.family)];
  return family.first_code + name.number - family.lowest;
}

std::optional<std::string> MachineNameCodec::NameOf(uint64_t code) const {
  if (code == 0) return std::string();
  for (const Family& family : families_) {
    if (code < family.first_code || code - family.first_code >= family.count) continue;
    const FamilyId& id = family.id;
    if (id.digits == 0) return id.stem;
    const std::string number = std::to_string(family.lowest + code - family.first_code);
    return id.stem + std::string(id.digits - number.size(), '0') + number;
  }
  return std::nullopt;
}

}  // namespace hallpier::store
