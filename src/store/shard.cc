#include "store/shard.h"

#include <charconv>
#include <utility>
#include <vector>

#include "wire/digits.h"

namespace hallpier::store {
namespace {

// Bytes that an open task is allowed on average: its number and a machine's name of its own.
constexpr double kTaskBytes = 22;
// Part of a value that open tasks may fill.
constexpr double kOpenShare = 0.9;
// The same for the packed form: two flags, a machine's number of three digits, an attempt...
constexpr double kPackedTaskBytes = 4.5;
constexpr double kPackedShare = 0.85;
// ...and a bound on what one change makes every node read again.
constexpr uint32_t kMostPacked = 2048;
// Attempts from here on don't fit a digit.
constexpr uint64_t kManyAttempts = 63;

void WriteRuns(wire::JsonWriter& w, const Shard& shard) {
  w.Field("runs").StartObject();
  for (const auto& [flavor, stats] : shard.runs) {
    w.Key(flavor.c_str());
    w.StartArray();
    w.Uint64(stats.count);
    w.Double(stats.sum_s);
    w.EndArray();
  }
  w.EndObject();
}

bool ReadRuns(const wire::JsonValue& v, Shard* s) {
  const wire::JsonValue* runs = wire::Find(v, "runs");
  if (runs == nullptr || !runs->IsObject()) return true;
  for (const auto& m : runs->GetObject()) {
    if (!m.value.IsArray() || m.value.Size() != 2 || !m.value[0].IsUint64() ||
        !m.value[1].IsNumber()) {
      return false;
    }
    s->runs[m.name.GetString()] = {m.value[0].GetUint64(), m.value[1].GetDouble()};
  }
  return true;
}

// Names of machines as numbers. Where all are alike but for a number at their end, that number less
// the least of them; else their places in a list. 0 stands for no machine.
class HostCoder {
 public:
  HostCoder() = default;

  static HostCoder For(const Shard& shard) {
    HostCoder c;
    bool alike = true, first = true;
    uint64_t most = 0;
    for (const auto& [index, task] : shard.open) {
      if (task.machine.empty()) continue;
      auto [name, digits, number] = Cut(task.machine);
      if (first) {
        c.name_ = name;
        c.digits_ = digits;
        c.least_ = number;
        first = false;
      }
      alike = alike && digits > 0 && name == c.name_ && digits == c.digits_;
      c.least_ = std::min(c.least_, number);
      most = std::max(most, number);
    }
    if (alike) {
      c.width_ = wire::DigitsFor(first ? 0 : most - c.least_ + 1);
      return c;
    }
    c.digits_ = 0;
    for (const auto& [index, task] : shard.open) {
      if (task.machine.empty() || c.places_.contains(task.machine)) continue;
      c.list_.push_back(task.machine);
      c.places_[task.machine] = c.list_.size();
    }
    c.width_ = wire::DigitsFor(c.list_.size());
    return c;
  }

  void Write(wire::JsonWriter& w) const {
    w.Field("width").Uint64(width_);
    if (!list_.empty()) {
      w.Field("hosts").StartArray();
      for (const auto& name : list_) w.Text(name);
      w.EndArray();
    } else if (digits_ > 0) {
      w.Field("host").Text(name_);
      w.Field("digits").Uint64(digits_);
      w.Field("least").Uint64(least_);
    }
  }

  static std::optional<HostCoder> Read(const wire::JsonValue& v) {
    HostCoder c;
    c.width_ = wire::GetCount(v, "width").value_or(0);
    c.name_ = wire::GetText(v, "host").value_or("");
    c.digits_ = wire::GetCount(v, "digits").value_or(0);
    c.least_ = wire::GetCount(v, "least").value_or(0);
    if (const wire::JsonValue* list = wire::Find(v, "hosts")) {
      if (!list->IsArray()) return std::nullopt;
      for (const auto& name : list->GetArray()) {
        if (!name.IsString() || name.GetStringLength() == 0) return std::nullopt;
        c.list_.emplace_back(name.GetString(), name.GetStringLength());
      }
    }
    if (c.width_ < 1 || c.width_ > kMostDigits || c.digits_ > kMostDigits) return std::nullopt;
    return c;
  }

  size_t width() const { return width_; }

  uint64_t Code(const std::string& machine) const {
    if (machine.empty()) return 0;
    if (!list_.empty()) return places_.at(machine);
    return std::get<2>(Cut(machine)) - least_ + 1;
  }

  std::optional<std::string> Name(uint64_t code) const {
    if (code == 0) return std::string();
    if (!list_.empty()) {
      if (code > list_.size()) return std::nullopt;
      return list_[code - 1];
    }
    const std::string number = std::to_string(least_ + code - 1);
    if (digits_ < number.size()) return std::nullopt;
    return name_ + std::string(digits_ - number.size(), '0') + number;
  }

 private:
  // Fewer than 2^53 numbers, and sums of two of them, are exact everywhere.
  static constexpr size_t kMostDigits = 15;

  // A name, how many digits it ends with, and their number.
  static std::tuple<std::string_view, size_t, uint64_t> Cut(std::string_view machine) {
    size_t digits = 0;
    while (digits < std::min(machine.size(), kMostDigits) &&
           machine[machine.size() - digits - 1] >= '0' &&
           machine[machine.size() - digits - 1] <= '9') {
      ++digits;
    }
    const std::string_view text = machine.substr(machine.size() - digits);
    uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return {machine.substr(0, machine.size() - digits), digits, number};
  }

  std::string name_;
  size_t digits_ = 0;
  uint64_t least_ = 0;
  std::vector<std::string> list_;
  std::map<std::string, size_t> places_;
  size_t width_ = 1;
};

std::optional<Shard> ReadPacked(const wire::JsonValue& v) {
  auto first = wire::GetCount(v, "first");
  auto count = wire::GetCount(v, "of");
  auto done_text = wire::GetText(v, "done");
  auto open_text = wire::GetText(v, "open");
  auto on = wire::GetText(v, "on");
  auto hosts = HostCoder::Read(v);
  if (!first || !count || !done_text || !open_text || !on || !hosts || *first > wire::kMaxPieces ||
      *count > wire::kMaxPieces || *first + *count > wire::kMaxPieces) {
    return std::nullopt;
  }
  auto done = wire::UnpackFlags(*done_text, *count);
  auto open = wire::UnpackFlags(*open_text, *count);
  if (!done || !open) return std::nullopt;
  const std::string tries_text = wire::GetText(v, "tries").value_or("");
  std::string_view on_left = *on, tries_left = tries_text;
  Shard s;
  for (uint32_t i = 0; i < *count; ++i) {
    const auto index = static_cast<uint32_t>(*first) + i;
    if ((*done)[i]) s.done.Insert(index);
    if (!(*open)[i]) continue;
    auto code = wire::TakeDigits(on_left, hosts->width());
    auto machine = code ? hosts->Name(*code) : std::nullopt;
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

std::optional<Shard> ReadText(const wire::JsonValue& v) {
  Shard s;
  const wire::JsonValue* done = wire::Find(v, "done");
  const wire::JsonValue* on = wire::Find(v, "on");
  if (done == nullptr || !done->IsArray() || done->Size() % 2 != 0 || on == nullptr ||
      !on->IsObject()) {
    return std::nullopt;
  }
  for (rapidjson::SizeType i = 0; i < done->Size(); i += 2) {
    const auto& first = (*done)[i];
    const auto& last = (*done)[i + 1];
    if (!first.IsUint() || !last.IsUint() || last.GetUint() >= wire::kMaxPieces) {
      return std::nullopt;
    }
    for (uint32_t n = first.GetUint(); n <= last.GetUint(); ++n) s.done.Insert(n);
  }
  for (const auto& m : on->GetObject()) {
    if (!m.value.IsArray()) return std::nullopt;
    const std::string machine(m.name.GetString(), m.name.GetStringLength());
    TaskState* task = nullptr;
    for (const auto& number : m.value.GetArray()) {
      if (number.IsUint()) {
        // A task that stands on two machines would be one that nobody can find again.
        auto [it, fresh] = s.open.try_emplace(number.GetUint());
        if (!fresh || number.GetUint() >= wire::kMaxPieces) return std::nullopt;
        task = &it->second;
        *task = {1, machine};
      } else if (number.IsInt64() && task != nullptr && number.GetInt64() < 0) {
        task->attempt = static_cast<uint64_t>(-(number.GetInt64() + 1)) + 1;
        task = nullptr;
      } else {
        return std::nullopt;
      }
    }
  }
  if (!ReadRuns(v, &s)) return std::nullopt;
  return s;
}

}  // namespace

bool IndexSet::Contains(uint32_t i) const {
  auto it = ranges_.upper_bound(i);
  if (it == ranges_.begin()) return false;
  return std::prev(it)->second >= i;
}

void IndexSet::Insert(uint32_t i) {
  if (Contains(i)) return;
  ++size_;
  uint32_t last = i;
  auto next = ranges_.upper_bound(i);
  if (next != ranges_.end() && next->first == i + 1) {
    last = next->second;
    next = ranges_.erase(next);
  }
  if (next != ranges_.begin() && std::prev(next)->second + 1 == i) {
    std::prev(next)->second = last;
  } else {
    ranges_[i] = last;
  }
}

uint32_t Shard::placed() const {
  return static_cast<uint32_t>(std::count_if(
      open.begin(), open.end(), [](const auto& entry) { return !entry.second.machine.empty(); }));
}

std::string WriteShard(const Shard& shard) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("done").StartArray();
  for (const auto& [first, last] : shard.done.ranges()) {
    w.Uint(first);
    w.Uint(last);
  }
  w.EndArray();
  std::map<std::string_view, std::vector<std::pair<uint32_t, uint64_t>>> by_machine;
  for (const auto& [index, task] : shard.open) {
    by_machine[task.machine].emplace_back(index, task.attempt);
  }
  w.Field("on").StartObject();
  for (const auto& [machine, tasks] : by_machine) {
    w.Key(machine.data(), static_cast<rapidjson::SizeType>(machine.size()));
    w.StartArray();
    for (const auto& [index, attempt] : tasks) {
      w.Uint(index);
      if (attempt != 1) w.Int64(-static_cast<int64_t>(attempt));
    }
    w.EndArray();
  }
  w.EndObject();
  WriteRuns(w, shard);
  w.EndObject();
  return w.Take();
}

std::string WritePacked(const Shard& shard, uint32_t first, uint32_t count) {
  std::vector<bool> done(count), open(count);
  auto inside = [&](uint32_t index) { return index >= first && index - first < count; };
  for (const auto& [from, last] : shard.done.ranges()) {
    if (!inside(from) || !inside(last)) return WriteShard(shard);
    for (uint32_t i = from; i <= last; ++i) done[i - first] = true;
  }
  const HostCoder hosts = HostCoder::For(shard);
  std::string on, tries;
  std::vector<std::pair<uint32_t, uint64_t>> many;
  bool repeated = false;
  for (const auto& [index, task] : shard.open) {
    if (!inside(index)) return WriteShard(shard);
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
  WriteRuns(w, shard);
  w.EndObject();
  return w.Take();
}

std::optional<Shard> ReadShard(std::string_view json) {
  auto d = wire::ParseObject(json);
  if (!d) return std::nullopt;
  return wire::Find(*d, "of") != nullptr ? ReadPacked(*d) : ReadText(*d);
}

uint32_t TasksPerShard(double value_kb) {
  return std::max(1u, static_cast<uint32_t>(value_kb * 1024 * kOpenShare / kTaskBytes));
}

uint32_t TasksPerPacked(double value_kb) {
  const double tasks = value_kb * 1024 * kPackedShare / kPackedTaskBytes;
  return std::clamp(static_cast<uint32_t>(tasks), 1u, kMostPacked);
}

Shard Slice(const Shard& shard, uint32_t first, uint32_t end, bool with_runs) {
  Shard out;
  for (const auto& [from, last] : shard.done.ranges()) {
    for (uint32_t i = std::max(from, first); i <= last && i < end; ++i) out.done.Insert(i);
  }
  out.open.insert(shard.open.lower_bound(first), shard.open.lower_bound(end));
  if (with_runs) out.runs = shard.runs;
  return out;
}

}  // namespace hallpier::store
