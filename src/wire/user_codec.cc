#include "wire/user_codec.h"

#include <algorithm>

#include "wire/enum_names.h"
#include "wire/limits.h"

namespace hallpier::wire {
namespace {

constexpr EnumNames<model::JobPhase, 4> kJobPhases = {{{model::JobPhase::kPending, "pending"},
                                                       {model::JobPhase::kRunning, "running"},
                                                       {model::JobPhase::kDone, "done"},
                                                       {model::JobPhase::kCancelled, "cancelled"}}};
constexpr EnumNames<model::Priority, 4> kPriorities = {
    {{model::Priority::kProd, "prod"},
     {model::Priority::kUrgent, "urgent"},
     {model::Priority::kNormal, "normal"},
     {model::Priority::kBestEffort, "best_effort"}}};
constexpr EnumNames<model::JobKind, 2> kJobKinds = {
    {{model::JobKind::kArray, "array"}, {model::JobKind::kService, "standing"}}};

// Far beyond any machine, near enough that sums of them stay exact enough.
constexpr double kMaxAmount = 1e9;

// Reads the fields of a submission one by one and remembers the first fault.
class SpecReader {
 public:
  SpecReader(const JsonValue& v, BadField* bad) : v_(v), bad_(bad) {}

  bool ok() const { return ok_; }

  void Fail(const char* field, std::string reason) {
    if (ok_) *bad_ = {field, std::move(reason)};
    ok_ = false;
  }
  std::string Text(const char* field) {
    auto t = GetText(v_, field);
    if (!t || t->empty() || t->size() > kMaxText) {
      Fail(field, "must be a text of 1 to 200 bytes");
      return {};
    }
    return *t;
  }
  double Amount(const char* field, double least) {
    auto a = GetAmount(v_, field);
    if (!a || *a < least || *a > kMaxAmount) {
      Fail(field, "must be a number of at least " + std::to_string(static_cast<int>(least)));
      return 0;
    }
    return *a;
  }
  bool Flag(const char* field) {
    auto f = GetFlag(v_, field);
    if (!f) Fail(field, "must be true or false");
    return f.value_or(false);
  }
  template <class E, size_t N>
  E Name(const EnumNames<E, N>& names, const char* field) {
    auto e = GetEnum(names, v_, field);
    if (!e) Fail(field, "is not one of the allowed words");
    return e.value_or(names[0].first);
  }

 private:
  const JsonValue& v_;
  BadField* bad_;
  bool ok_ = true;
};

}  // namespace

std::string_view JobPhaseName(model::JobPhase phase) { return NameOf(kJobPhases, phase); }
std::optional<model::JobPhase> ParseJobPhase(std::string_view name) {
  return ValueOf(kJobPhases, name);
}

std::optional<model::JobSpec> ReadJobSpec(const JsonValue& v, BadField* bad) {
  SpecReader r(v, bad);
  model::JobSpec s;
  s.id = r.Text("id");
  if (r.ok() && !model::IsJobId(s.id)) r.Fail("id", "is not a job id");
  s.job_class = r.Text("lane");
  s.team = r.Text("tenant");
  s.kind = r.Name(kJobKinds, "shape");
  s.priority = r.Name(kPriorities, "urgency");
  auto tasks = GetCount(v, "pieces");
  if (!tasks || *tasks < 1 || *tasks > model::kMaxTasks) {
    r.Fail("pieces", "must be a whole number from 1 to 100000");
  } else {
    s.tasks = static_cast<uint32_t>(*tasks);
  }
  s.cpus = r.Amount("vcpus", 0);
  s.gpus = r.Amount("cards", 0);
  s.memory_gb = r.Amount("memGb", 0);
  s.image = r.Text("bundle");
  s.image_gb = r.Amount("sizeGb", 0);
  if (const JsonValue* list = Find(v, "flavors")) {
    s.machine_types = GetTexts(list);
    if (!list->IsArray() || s.machine_types.empty() || s.machine_types.size() != list->Size()) {
      r.Fail("flavors", "must be null or a list of machine types");
    }
  }
  if (Find(v, "hall") != nullptr) s.zone = r.Text("hall");
  s.one_zone = r.Flag("oneZone");
  s.spread = r.Flag("spread");
  s.spot = r.Flag("lendable");
  s.estimate_s = r.Amount("expectS", 0);
  s.checkpoint_every_s = r.Amount("snapshotEveryS", 0);
  s.checkpoint_s = r.Amount("snapshotS", 0);
  if (Find(v, "dueS") != nullptr) s.due_s = r.Amount("dueS", 0);
  if (const JsonValue* list = Find(v, "awaits")) {
    s.awaits = GetTexts(list);
    if (!list->IsArray() || s.awaits.size() != list->Size() ||
        !std::all_of(s.awaits.begin(), s.awaits.end(), model::IsJobId)) {
      r.Fail("awaits", "must be null or a list of job ids");
    }
    // One that is named twice is awaited once.
    std::sort(s.awaits.begin(), s.awaits.end());
    s.awaits.erase(std::unique(s.awaits.begin(), s.awaits.end()), s.awaits.end());
  }
  if (!r.ok()) return std::nullopt;
  return s;
}

void WriteJobSpec(JsonWriter& w, const model::JobSpec& s) {
  w.StartObject();
  w.Field("id").Text(s.id);
  w.Field("lane").Text(s.job_class);
  w.Field("tenant").Text(s.team);
  w.Field("shape").Text(NameOf(kJobKinds, s.kind));
  w.Field("urgency").Text(NameOf(kPriorities, s.priority));
  w.Field("pieces").Uint(s.tasks);
  w.Field("vcpus").Double(s.cpus);
  w.Field("cards").Double(s.gpus);
  w.Field("memGb").Double(s.memory_gb);
  w.Field("bundle").Text(s.image);
  w.Field("sizeGb").Double(s.image_gb);
  if (!s.machine_types.empty()) {
    w.Field("flavors").StartArray();
    for (const auto& f : s.machine_types) w.Text(f);
    w.EndArray();
  }
  if (!s.zone.empty()) w.Field("hall").Text(s.zone);
  w.Field("oneZone").Bool(s.one_zone);
  w.Field("spread").Bool(s.spread);
  w.Field("lendable").Bool(s.spot);
  w.Field("expectS").Double(s.estimate_s);
  w.Field("snapshotEveryS").Double(s.checkpoint_every_s);
  w.Field("snapshotS").Double(s.checkpoint_s);
  if (s.due_s > 0) w.Field("dueS").Double(s.due_s);
  if (!s.awaits.empty()) {
    w.Field("awaits").StartArray();
    for (const auto& id : s.awaits) w.Text(id);
    w.EndArray();
  }
  w.EndObject();
}

std::string WriteStatus(const model::JobStatus& s) {
  JsonWriter w;
  w.StartObject();
  w.Field("id").Text(s.id);
  w.Field("phase").Text(JobPhaseName(s.phase));
  w.Field("done").Uint64(s.done);
  w.Field("running").Uint64(s.running);
  w.EndObject();
  return w.Take();
}

std::string WritePhase(std::string_view id, model::JobPhase phase) {
  JsonWriter w;
  w.StartObject();
  w.Field("id").Text(id);
  w.Field("phase").Text(JobPhaseName(phase));
  w.EndObject();
  return w.Take();
}

std::string WriteError(std::string_view reason, std::string_view field) {
  JsonWriter w;
  w.StartObject();
  w.Field("error").Text(reason);
  if (!field.empty()) w.Field("field").Text(field);
  w.EndObject();
  return w.Take();
}

}  // namespace hallpier::wire
