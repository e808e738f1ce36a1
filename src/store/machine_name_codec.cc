#include "store/machine_name_codec.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "wire/base64_digits.h"

namespace hallpier::store {
namespace {

// Keeps all numbers of a range well within 64 bits.
constexpr size_t kMaxNumberDigits = 15;
constexpr uint64_t kNumberLimit = 1'000'000'000'000'000;
// Prefix, digit count, lowest number, count.
constexpr rapidjson::SizeType kRangeFields = 4;

struct NumberRange {
  uint64_t lowest = 0;
  uint64_t highest = 0;
};

bool IsDigit(char character) { return character >= '0' && character <= '9'; }

}  // namespace

MachineNameCodec::Name MachineNameCodec::SplitName(std::string_view machine) {
  size_t digit_count = 0;
  while (digit_count < std::min(machine.size(), kMaxNumberDigits) &&
         IsDigit(machine[machine.size() - digit_count - 1])) {
    ++digit_count;
  }
  const size_t prefix_size = machine.size() - digit_count;
  Name name{{std::string(machine.substr(0, prefix_size)), digit_count}, 0};
  const std::string_view number = machine.substr(prefix_size);
  std::from_chars(number.data(), number.data() + number.size(), name.number);
  return name;
}

MachineNameCodec MachineNameCodec::ForTaskGroup(const TaskGroup& task_group) {
  std::map<NamePattern, NumberRange> number_ranges;
  for (const auto& [index, task] : task_group.open) {
    if (task.machine.empty()) continue;
    const Name name = SplitName(task.machine);
    auto [entry, is_new] =
        number_ranges.try_emplace(name.pattern, NumberRange{name.number, name.number});
    NumberRange& range = entry->second;
    range.lowest = std::min(range.lowest, name.number);
    range.highest = std::max(range.highest, name.number);
  }
  MachineNameCodec codec;
  for (const auto& [pattern, range] : number_ranges) {
    codec.AddRange({pattern, range.lowest, range.highest - range.lowest + 1});
  }
  return codec;
}

void MachineNameCodec::AddRange(NameRange range) {
  range.first_code = code_count_ + 1;
  code_count_ += range.count;
  range_index_[range.pattern] = ranges_.size();
  ranges_.push_back(std::move(range));
}

void MachineNameCodec::Write(wire::JsonWriter& json) const {
  json.Field("hosts").StartArray();
  for (const NameRange& range : ranges_) {
    json.StartArray();
    json.Text(range.pattern.prefix);
    json.Uint64(range.pattern.digit_count);
    json.Uint64(range.lowest_number);
    json.Uint64(range.count);
    json.EndArray();
  }
  json.EndArray();
}

std::optional<DecodeError> MachineNameCodec::Validate(const NameRange& range) {
  if (range.pattern.digit_count > kMaxNumberDigits || range.lowest_number >= kNumberLimit ||
      range.count > kNumberLimit) {
    return DecodeError{"hosts", "digits, lowest number or count of a name range is too large"};
  }
  const bool no_number = range.pattern.digit_count == 0;
  if (no_number && (range.pattern.prefix.empty() || range.lowest_number != 0 || range.count != 1)) {
    return DecodeError{
        "hosts", "a name without a number must be non-empty and have lowest number 0, count 1"};
  }
  const uint64_t highest = range.lowest_number + range.count - 1;
  if (std::to_string(highest).size() > std::max<size_t>(range.pattern.digit_count, 1)) {
    return DecodeError{"hosts", "the highest number has more digits than the names of its range"};
  }
  return std::nullopt;
}

DecodeResult<MachineNameCodec> MachineNameCodec::Read(const wire::JsonValue& record) {
  const wire::JsonValue* hosts = wire::Find(record, "hosts");
  if (hosts == nullptr || !hosts->IsArray()) return DecodeError{"hosts", "missing, or not a list"};
  MachineNameCodec codec;
  for (const auto& fields : hosts->GetArray()) {
    if (!fields.IsArray() || fields.Size() != kRangeFields || !fields[0].IsString() ||
        !fields[1].IsUint64() || !fields[2].IsUint64() || !fields[3].IsUint64()) {
      return DecodeError{"hosts",
                         "expected name ranges of the form [prefix, digits, lowest number, count]"};
    }
    std::string prefix(fields[0].GetString(), fields[0].GetStringLength());
    NameRange range{
        {std::move(prefix), fields[1].GetUint64()}, fields[2].GetUint64(), fields[3].GetUint64()};
    if (auto error = Validate(range)) return std::move(*error);
    codec.AddRange(std::move(range));
  }
  return codec;
}

size_t MachineNameCodec::digits_per_code() const { return wire::DigitsNeeded(code_count_); }

uint64_t MachineNameCodec::CodeOf(const std::string& machine) const {
  if (machine.empty()) return 0;
  const Name name = SplitName(machine);
  const NameRange& range = ranges_[range_index_.at(name.pattern)];
  return range.first_code + name.number - range.lowest_number;
}

std::optional<std::string> MachineNameCodec::NameOf(uint64_t code) const {
  if (code == 0) return std::string();
  for (const NameRange& range : ranges_) {
    if (code < range.first_code || code - range.first_code >= range.count) continue;
    const NamePattern& pattern = range.pattern;
    if (pattern.digit_count == 0) return pattern.prefix;
    const std::string number = std::to_string(range.lowest_number + code - range.first_code);
    return pattern.prefix + std::string(pattern.digit_count - number.size(), '0') + number;
  }
  return std::nullopt;
}

}  // namespace hallpier::store
