#include "fakes/fake_cloud.h"

#include <fmt/format.h>

#include <utility>

#include "fakes/http_support.h"
#include "model/cloud.h"
#include "model/machine_type.h"
#include "wire/cloud_codec.h"

namespace hallpier::testing_support {
namespace {

// Maximum number of machines. A request beyond it gets fewer machines than it asks for.
constexpr size_t kMaxMachines = 20;
constexpr const char* kMachineTypeName = "c4";

}  // namespace

FakeCloud::FakeCloud(async::Scope& scope, Options options)
    : scope_(scope),
      options_(std::move(options)),
      server_(scope, kFakeServerLimits,
              [this](wire::HttpRequest request) { return Handle(std::move(request)); }) {}

FakeCloud::~FakeCloud() = default;

int FakeCloud::Running(const std::string& job) const {
  int count = 0;
  for (const auto& [name, worker] : machines_) {
    count += worker->CountRunning([&](const std::string& other) { return other == job; });
  }
  return count;
}

int FakeCloud::RunningWithPrefix(const std::string& prefix) const {
  int count = 0;
  for (const auto& [name, worker] : machines_) {
    count += worker->CountRunning([&](const std::string& job) { return job.starts_with(prefix); });
  }
  return count;
}

void FakeCloud::CutMachines(bool cut) {
  for (auto& [name, worker] : machines_) worker->SetCut(cut);
}

void FakeCloud::RestartMachines() {
  for (auto& [name, worker] : machines_) worker->RestartAgent();
}

int FakeCloud::refused_commands() const {
  int count = 0;
  for (const auto& [name, worker] : machines_) count += worker->refused_commands();
  return count;
}

void FakeCloud::OnStart(const FakeWorker& worker, const model::TaskId& task) {
  if (on_start_) on_start_(task);
  ++starts_;
  for (const auto& [name, other] : machines_) {
    if (other.get() != &worker && other->Runs(task)) ++duplicate_starts_;
  }
}

wire::HttpResponse FakeCloud::ListMachineTypes() {
  model::MachineType type;
  type.name = kMachineTypeName;
  type.cpus = 4;
  type.memory_gb = 16;
  type.fetch_gb_per_s = 1;
  type.price = 0.2;
  type.spot_price = 0.1;
  type.boot_s = 1;
  type.zones = {"a", "b"};
  return Answer(200, wire::WriteMachineTypes({type}));
}

wire::HttpResponse FakeCloud::ListMachines() const {
  wire::JsonWriter writer;
  writer.StartObject();
  writer.Field("hosts").StartArray();
  for (const auto& [name, worker] : machines_) {
    writer.StartObject();
    writer.Field("id").Text(name);
    writer.Field("endpoint").Text(worker->listed().endpoint);
    writer.Field("flavor").Text(worker->listed().machine_type);
    writer.Field("hall").Text(worker->listed().zone);
    writer.Field("lendable").Bool(worker->listed().spot);
    writer.Field("phase").Text("running");
    writer.Field("heldS").Double(0);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Field("truncated").Bool(false);
  writer.EndObject();
  return Answer(200, writer.Take());
}

wire::HttpResponse FakeCloud::ScaleOut(const wire::JsonValue& request) {
  const std::string name = *wire::GetText(request, "hire");
  if (scale_out_responses_.contains(name)) return Answer(200, scale_out_responses_[name]);
  std::vector<std::string> names;
  const uint64_t count = *wire::GetCount(request, "howMany");
  for (uint64_t i = 0; i < count && machines_.size() < kMaxMachines; ++i) {
    model::CloudMachine listed;
    listed.machine = fmt::format("vm-{:06}", next_machine_);
    listed.endpoint =
        "127.0.0.1:" + std::to_string(options_.first_port + next_machine_ % options_.ports);
    listed.machine_type = kMachineTypeName;
    listed.zone = *wire::GetText(request, "hall");
    listed.spot = *wire::GetFlag(request, "lendable");
    ++next_machine_;
    auto worker = std::make_unique<FakeWorker>(
        scope_, options_.worker, listed,
        [this](const FakeWorker& where, const model::TaskId& task) { OnStart(where, task); });
    if (!worker->Start()) continue;
    names.push_back(listed.machine);
    machines_[listed.machine] = std::move(worker);
  }
  scale_out_responses_[name] = wire::WriteScaleInRequest(names);
  return Answer(200, scale_out_responses_[name]);
}

wire::HttpResponse FakeCloud::ScaleIn(const wire::JsonValue& request) {
  for (const auto& machine : request["hosts"].GetArray()) {
    auto it = machines_.find(machine.GetString());
    if (it == machines_.end()) continue;
    it->second->End();
    // The worker's coroutines unwind later; the object must live until then.
    removed_.push_back(std::move(it->second));
    machines_.erase(it);
  }
  return Answer(200, "{}");
}

async::Task<wire::HttpResponse> FakeCloud::Handle(wire::HttpRequest request) {
  const std::string path(request.path());
  if (path == "/flavors") co_return ListMachineTypes();
  if (path == "/rentals" && request.method == "GET") co_return ListMachines();
  auto body = wire::ParseObject(request.body);
  if (!body) co_return Answer(400, "{}");
  if (path == "/rentals") co_return ScaleOut(*body);
  co_return ScaleIn(*body);
}

}  // namespace hallpier::testing_support
