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

// Far more than any machine has, yet small enough that sums keep sufficient precision.
constexpr double kMaxAmount = 1e9;

// Reads the fields of a submission one by one and keeps the first error.
class JobSpecReader {
 public:
  explicit JobSpecReader(const JsonValue& object) : object_(object) {}

  // std::nullopt if all fields read so far are valid.
  const std::optional<FieldError>& error() const { return error_; }

  void Fail(const char* field, std::string reason) {
    if (!error_) error_ = FieldError{field, std::move(reason)};
  }
  bool Has(const char* field) const { return Find(object_, field) != nullptr; }
  std::string Text(const char* field) {
    auto text = GetText(object_, field);
    if (!text || text->empty() || text->size() > kMaxNameBytes) {
      Fail(field, "must be a text of 1 to 200 bytes");
      return {};
    }
    return *text;
  }
  double Amount(const char* field) {
    auto amount = GetAmount(object_, field);
    if (!amount || *amount < 0 || *amount > kMaxAmount) {
      Fail(field, "must be a number of at least 0");
      return 0;
    }
    return *amount;
  }
  bool Flag(const char* field) {
    auto flag = GetFlag(object_, field);
    if (!flag) Fail(field, "must be true or false");
    return flag.value_or(false);
  }
  template <class E, size_t N>
  E Enum(const EnumNames<E, N>& names, const char* field) {
    auto value = GetEnum(names, object_, field);
    if (!value) Fail(field, "is not one of the allowed words");
    return value.value_or(names[0].first);
  }
  std::string JobId() {
    std::string id = Text("id");
    if (!error_ && !model::IsJobId(id)) Fail("id", "is not a job id");
    return id;
  }
  uint32_t TaskCount() {
    auto tasks = GetCount(object_, "pieces");
    if (tasks && *tasks >= 1 && *tasks <= model::kMaxTasksPerJob)
      return static_cast<uint32_t>(*tasks);
    Fail("pieces", "must be a whole number from 1 to 100000");
    return 1;
  }
  std::vector<std::string> MachineTypes() {
    const JsonValue* list = Find(object_, "flavors");
    if (list == nullptr) return {};
    std::vector<std::string> names = GetTexts(list);
    if (!list->IsArray() || names.empty() || names.size() != list->Size()) {
      Fail("flavors", "must be null or a list of machine types");
    }
    return names;
  }
  std::vector<std::string> Dependencies() {
    const JsonValue* list = Find(object_, "awaits");
    if (list == nullptr) return {};
    std::vector<std::string> ids = GetTexts(list);
    if (!list->IsArray() || ids.size() != list->Size() ||
        !std::all_of(ids.begin(), ids.end(), model::IsJobId)) {
      Fail("awaits", "must be null or a list of job ids");
    }
    // Repeated job ids count as one dependency.
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
  }

 private:
  const JsonValue& object_;
  std::optional<FieldError> error_;
};

}  // namespace

std::string_view JobPhaseName(model::JobPhase phase) { return NameOf(kJobPhases, phase); }
std::optional<model::JobPhase> ParseJobPhase(std::string_view name) {
  return ValueOf(kJobPhases, name);
}

Result<model::JobSpec, FieldError> ReadJobSpec(const JsonValue& object) {
  JobSpecReader reader(object);
  model::JobSpec spec;
  spec.id = reader.JobId();
  spec.job_class = reader.Text("lane");
  spec.team = reader.Text("tenant");
  spec.kind = reader.Enum(kJobKinds, "shape");
  spec.priority = reader.Enum(kPriorities, "urgency");
  spec.tasks = reader.TaskCount();
  spec.cpus = reader.Amount("vcpus");
  spec.gpus = reader.Amount("cards");
  spec.memory_gb = reader.Amount("memGb");
  spec.image = reader.Text("bundle");
  spec.image_gb = reader.Amount("sizeGb");
  spec.machine_types = reader.MachineTypes();
  if (reader.Has("hall")) spec.zone = reader.Text("hall");
  spec.one_zone = reader.Flag("oneZone");
  spec.spread = reader.Flag("spread");
  spec.spot = reader.Flag("lendable");
  spec.estimated_run_s = reader.Amount("expectS");
  spec.checkpoint_every_s = reader.Amount("snapshotEveryS");
  spec.checkpoint_s = reader.Amount("snapshotS");
  if (reader.Has("dueS")) spec.deadline_s = reader.Amount("dueS");
  spec.dependencies = reader.Dependencies();
  if (reader.error()) return *reader.error();
  return spec;
}

void WriteJobSpec(JsonWriter& writer, const model::JobSpec& spec) {
  writer.StartObject();
  writer.Field("id").Text(spec.id);
  writer.Field("lane").Text(spec.job_class);
  writer.Field("tenant").Text(spec.team);
  writer.Field("shape").Text(NameOf(kJobKinds, spec.kind));
  writer.Field("urgency").Text(NameOf(kPriorities, spec.priority));
  writer.Field("pieces").Uint(spec.tasks);
  writer.Field("vcpus").Double(spec.cpus);
  writer.Field("cards").Double(spec.gpus);
  writer.Field("memGb").Double(spec.memory_gb);
  writer.Field("bundle").Text(spec.image);
  writer.Field("sizeGb").Double(spec.image_gb);
  if (!spec.machine_types.empty()) {
    writer.Field("flavors").StartArray();
    for (const auto& type : spec.machine_types) writer.Text(type);
    writer.EndArray();
  }
  if (!spec.zone.empty()) writer.Field("hall").Text(spec.zone);
  writer.Field("oneZone").Bool(spec.one_zone);
  writer.Field("spread").Bool(spec.spread);
  writer.Field("lendable").Bool(spec.spot);
  writer.Field("expectS").Double(spec.estimated_run_s);
  writer.Field("snapshotEveryS").Double(spec.checkpoint_every_s);
  writer.Field("snapshotS").Double(spec.checkpoint_s);
  if (spec.deadline_s > 0) writer.Field("dueS").Double(spec.deadline_s);
  if (!spec.dependencies.empty()) {
    writer.Field("awaits").StartArray();
    for (const auto& id : spec.dependencies) writer.Text(id);
    writer.EndArray();
  }
  writer.EndObject();
}

std::string WriteJobStatus(const model::JobStatus& status) {
  JsonWriter writer;
  writer.StartObject();
  writer.Field("id").Text(status.id);
  writer.Field("phase").Text(JobPhaseName(status.phase));
  writer.Field("done").Uint64(status.done);
  writer.Field("running").Uint64(status.running);
  writer.EndObject();
  return writer.Take();
}

std::string WriteJobPhase(std::string_view id, model::JobPhase phase) {
  JsonWriter writer;
  writer.StartObject();
  writer.Field("id").Text(id);
  writer.Field("phase").Text(JobPhaseName(phase));
  writer.EndObject();
  return writer.Take();
}

std::string WriteError(std::string_view reason, std::string_view field) {
  JsonWriter writer;
  writer.StartObject();
  writer.Field("error").Text(reason);
  if (!field.empty()) writer.Field("field").Text(field);
  writer.EndObject();
  return writer.Take();
}

}  // namespace hallpier::wire
