#include "store/packed_task_group.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>
#include <vector>

#include "model/job.h"
#include "wire/digits.h"

namespace hallpier::store {
namespace {

// Bytes that a task is allowed: two flags, a machine's number of three digits, an attempt...
constexpr double kPackedTaskBytes = 4.5;
constexpr double kPackedShare = 0.85;
// ...and a bound on what one change makes every node read again.
constexpr uint32_t kMostPacked = 2048;
// Attempts from here on don't fit a digit.
constexpr uint64_t kManyAttempts = 63;

// Names of machines as numbers. Names that are alike but for a number at their end are a family,
// which takes as many codes as there are numbers between its least and its greatest; 0 stands for
// no machine.
class HostCoder {
 public:
  static HostCoder For(const TaskGroup& task_group) {
    std::map<std::pair<std::string_view, size_t>, std::pair<uint64_t, uint64_t>> bounds;
    for (const auto& [index, task] : task_group.open) {
      if (task.machine.empty()) continue;
      const Name name = Cut(task.machine);
      auto [it, fresh] =
          bounds.try_emplace({name.stem, name.digits}, std::pair{name.number, name.number});
      it->second.first = std::min(it->second.first, name.number);
      it->second.second = std::max(it->second.second, name.number);
    }
    HostCoder c;
    for (const auto& [kin, bound] : bounds) {
      c.Add({std::string(kin.first), kin.second, bound.first, bound.second - bound.first + 1});
    }
    return c;
  }

  void Write(wire::JsonWriter& w) const {
    w.Field("hosts").StartArray();
    for (const Family& f : families_) {
      w.StartArray();
      w.Text(f.stem);
      w.Uint64(f.digits);
      w.Uint64(f.least);
      w.Uint64(f.count);
      w.EndArray();
    }
    w.EndArray();
  }

  static std::optional<HostCoder> Read(const wire::JsonValue& v) {
    const wire::JsonValue* hosts = wire::Find(v, "hosts");
    if (hosts == nullptr || !hosts->IsArray()) return std::nullopt;
    HostCoder c;
    for (const auto& f : hosts->GetArray()) {
      if (!f.IsArray() || f.Size() != 4 || !f[0].IsString() || !f[1].IsUint64() ||
          !f[2].IsUint64() || !f[3].IsUint64()) {
        return std::nullopt;
      }
      Family family{std::string(f[0].GetString(), f[0].GetStringLength()), f[1].GetUint64(),
                    f[2].GetUint64(), f[3].GetUint64()};
      const uint64_t least = family.least, count = family.count;
      if (family.digits > kMostDigits || least >= kMostNumber || count > kMostNumber) {
        return std::nullopt;
      }
      if (family.digits == 0 && (family.stem.empty() || least != 0 || count != 1)) {
        return std::nullopt;
      }
      if (std::to_string(least + count - 1).size() > std::max<size_t>(family.digits, 1)) {
        return std::nullopt;
      }
      c.Add(std::move(family));
    }
    return c;
  }

  size_t width() const { return wire::DigitsFor(codes_); }

  uint64_t Code(const std::string& machine) const {
    if (machine.empty()) return 0;
    const Name name = Cut(machine);
    const Family& f = families_[by_kin_.at({std::string(name.stem), name.digits})];
    return f.first + name.number - f.least;
  }

  std::optional<std::string> NameOf(uint64_t code) const {
    if (code == 0) return std::string();
    for (const Family& f : families_) {
      if (code < f.first || code - f.first >= f.count) continue;
      if (f.digits == 0) return f.stem;
      const std::string number = std::to_string(f.least + code - f.first);
      return f.stem + std::string(f.digits - number.size(), '0') + number;
    }
    return std::nullopt;
  }

 private:
  static constexpr size_t kMostDigits = 15;
  static constexpr uint64_t kMostNumber = 1'000'000'000'000'000;

  struct Family {
    std::string stem;
    size_t digits = 0;
    uint64_t least = 0;
    uint64_t count = 0;
    uint64_t first = 0;  // its least one's code
  };
  struct Name {
    std::string_view stem;
    size_t digits = 0;
    uint64_t number = 0;
  };

  void Add(Family f) {
    f.first = codes_ + 1;
    codes_ += f.count;
    by_kin_[{f.stem, f.digits}] = families_.size();
    families_.push_back(std::move(f));
  }

  static Name Cut(std::string_view machine) {
    size_t digits = 0;
    while (digits < std::min(machine.size(), kMostDigits) &&
           machine[machine.size() - digits - 1] >= '0' &&
           machine[machine.size() - digits - 1] <= '9') {
      ++digits;
    }
    const std::string_view text = machine.substr(machine.size() - digits);
    Name name{machine.substr(0, machine.size() - digits), digits, 0};
    std::from_chars(text.data(), text.data() + text.size(), name.number);
    return name;
  }

  std::vector<Family> families_;
  std::map<std::pair<std::string, size_t>, size_t> by_kin_;
  uint64_t codes_ = 0;
};

}  // namespace

std::optional<TaskGroup> ReadPacked(const wire::JsonValue& v) {
  auto first = wire::GetCount(v, "first");
  auto count = wire::GetCount(v, "of");
  auto done_text = wire::GetText(v, "done");
  auto open_text = wire::GetText(v, "open");
  auto on = wire::GetText(v, "on");
  auto hosts = HostCoder::Read(v);
  if (!first || !count || !done_text || !open_text || !on || !hosts || *first > model::kMaxTasks ||
      *count > model::kMaxTasks || *first + *count > model::kMaxTasks) {
    return std::nullopt;
  }
  auto done = wire::UnpackFlags(*done_text, *count);
  auto open = wire::UnpackFlags(*open_text, *count);
  if (!done || !open) return std::nullopt;
  const std::string tries_text = wire::GetText(v, "tries").value_or("");
  std::string_view on_left = *on, tries_left = tries_text;
  TaskGroup s;
  for (uint32_t i = 0; i < *count; ++i) {
    const auto index = static_cast<uint32_t>(*first) + i;
    if ((*done)[i]) s.done.Insert(index);
    if (!(*open)[i]) continue;
    auto code = wire::TakeDigits(on_left, hosts->width());
    auto machine = code ? hosts->NameOf(*code) : std::nullopt;
    auto attempt = tries_text.empty() ? 1 : wire::TakeDigits(tries_left, 1);
    // A task that is done and on a machine as well would be one that nobody can end.
    if (!machine || !attempt || (*done)[i]) return std::nullopt;
    s.open[index] = {*attempt, std::move(*machine)};
  }
  if (!on_left.empty() || !tries_left.empty()) return std::nullopt;
  if (const wire::JsonValue* many = wire::Find(v, "many")) {
    if (!many->IsArray() || many->Size() % 2 != 0) return std::nullopt;
    for (rapidjson::SizeType i = 0; i < many->Size(); i += 2) {
      if (!(*many)[i].IsUint() || !(*many)[i + 1].IsUint64()) return std::nullopt;
      auto task = s.open.find((*many)[i].GetUint());
      if (task == s.open.end()) return std::nullopt;
      task->second.attempt = (*many)[i + 1].GetUint64();
    }
  }
  if (!ReadRuns(v, &s)) return std::nullopt;
  return s;
}

std::string WritePacked(const TaskGroup& task_group, uint32_t first, uint32_t count) {
  std::vector<bool> done(count), open(count);
  auto inside = [&](uint32_t index) { return index >= first && index - first < count; };
  for (const auto& [from, last] : task_group.done.ranges()) {
    if (!inside(from) || !inside(last)) return WriteTaskGroup(task_group);
    for (uint32_t i = from; i <= last; ++i) done[i - first] = true;
  }
  const HostCoder hosts = HostCoder::For(task_group);
  std::string on, tries;
  std::vector<std::pair<uint32_t, uint64_t>> many;
  bool repeated = false;
  for (const auto& [index, task] : task_group.open) {
    if (!inside(index)) return WriteTaskGroup(task_group);
    open[index - first] = true;
    wire::PutDigits(on, hosts.Code(task.machine), hosts.width());
    wire::PutDigits(tries, std::min(task.attempt, kManyAttempts), 1);
    repeated = repeated || task.attempt != 1;
    if (task.attempt >= kManyAttempts) many.emplace_back(index, task.attempt);
  }
  wire::JsonWriter w;
  w.StartObject();
  w.Field("first").Uint(first);
  w.Field("of").Uint(count);
  w.Field("done").Text(wire::PackFlags(done));
  w.Field("open").Text(wire::PackFlags(open));
  hosts.Write(w);
  w.Field("on").Text(on);
  if (repeated) w.Field("tries").Text(tries);
  if (!many.empty()) {
    w.Field("many").StartArray();
    for (const auto& [index, attempt] : many) {
      w.Uint(index);
      w.Uint64(attempt);
    }
    w.EndArray();
  }
  WriteRuns(w, task_group);
  w.EndObject();
  return w.Take();
}

uint32_t TasksPerPacked(double value_kb) {
  const double tasks = value_kb * 1024 * kPackedShare / kPackedTaskBytes;
  return std::clamp(static_cast<uint32_t>(tasks), 1U, kMostPacked);
}

}  // namespace hallpier::store
