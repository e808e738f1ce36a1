#include "wire/cloud_codec.h"

#include "wire/enum_names.h"

namespace hallpier::wire {
namespace {

constexpr EnumNames<model::CloudMachineState, 3> kMachineStates = {
    {{model::CloudMachineState::kBooting, "starting"},
     {model::CloudMachineState::kRunning, "running"},
     {model::CloudMachineState::kFailed, "failed"}}};

}  // namespace

std::optional<std::vector<model::MachineType>> ReadMachineTypes(const JsonValue& object) {
  const JsonValue* list = Find(object, "flavors");
  if (list == nullptr || !list->IsArray()) return std::nullopt;
  std::vector<model::MachineType> machine_types;
  for (const JsonValue& entry : list->GetArray()) {
    auto name = GetText(entry, "sku");
    auto cpus = GetAmount(entry, "vcpus");
    auto memory = GetAmount(entry, "memGb");
    if (!name || name->empty() || !cpus || !memory) return std::nullopt;
    model::MachineType type;
    type.name = std::move(*name);
    type.cpus = *cpus;
    type.memory_gb = *memory;
    type.gpus = GetAmount(entry, "cards").value_or(0);
    type.fetch_gb_per_s = GetAmount(entry, "fetchGbPerS").value_or(0);
    type.price = GetAmount(entry, "rate").value_or(0);
    type.spot_price = GetAmount(entry, "marketPrice").value_or(0);
    type.boot_s = GetAmount(entry, "readyS").value_or(0);
    type.zones = GetTexts(Find(entry, "halls"));
    machine_types.push_back(std::move(type));
  }
  return machine_types;
}

std::string WriteMachineTypes(const std::vector<model::MachineType>& machine_types,
                              uint64_t pages) {
  JsonWriter writer;
  writer.StartObject();
  writer.Field("flavors").StartArray();
  for (const model::MachineType& type : machine_types) {
    writer.StartObject();
    writer.Field("sku").Text(type.name);
    writer.Field("vcpus").Double(type.cpus);
    writer.Field("cards").Double(type.gpus);
    writer.Field("memGb").Double(type.memory_gb);
    writer.Field("fetchGbPerS").Double(type.fetch_gb_per_s);
    writer.Field("rate").Double(type.price);
    writer.Field("marketPrice").Double(type.spot_price);
    writer.Field("readyS").Double(type.boot_s);
    writer.Field("halls").StartArray();
    for (const std::string& zone : type.zones) writer.Text(zone);
    writer.EndArray();
    writer.EndObject();
  }
  writer.EndArray();
  if (pages > 0) writer.Field("pages").Uint64(pages);
  writer.EndObject();
  return writer.Take();
}

std::string WriteScaleOutRequest(const model::ScaleOutRequest& request) {
  JsonWriter writer;
  writer.StartObject();
  writer.Field("hire").Text(request.request);
  writer.Field("flavor").Text(request.machine_type);
  writer.Field("hall").Text(request.zone);
  writer.Field("lendable").Bool(request.spot);
  writer.Field("howMany").Int(request.count);
  writer.EndObject();
  return writer.Take();
}

std::optional<std::vector<std::string>> ReadScaleOutResponse(std::string_view body) {
  auto document = ParseObject(body);
  if (!document) return std::nullopt;
  const JsonValue* list = Find(*document, "hosts");
  if (list == nullptr || !list->IsArray()) return std::nullopt;
  return GetTexts(list);
}

std::string WriteScaleInRequest(const std::vector<std::string>& machines) {
  JsonWriter writer;
  writer.StartObject();
  writer.Field("hosts").StartArray();
  for (const std::string& machine : machines) writer.Text(machine);
  writer.EndArray();
  writer.EndObject();
  return writer.Take();
}

std::optional<model::CloudMachineList> ReadMachineList(std::string_view body) {
  auto document = ParseObject(body);
  if (!document) return std::nullopt;
  const JsonValue* list = Find(*document, "hosts");
  if (list == nullptr || !list->IsArray()) return std::nullopt;
  model::CloudMachineList page;
  page.more = GetFlag(*document, "truncated").value_or(false);
  for (const JsonValue& entry : list->GetArray()) {
    auto id = GetText(entry, "id");
    auto machine_type = GetText(entry, "flavor");
    auto zone = GetText(entry, "hall");
    auto state = GetEnum(kMachineStates, entry, "phase");
    if (!id || id->empty() || !machine_type || !zone || !state) return std::nullopt;
    model::CloudMachine machine;
    machine.machine = std::move(*id);
    machine.endpoint = GetText(entry, "endpoint").value_or("");
    machine.machine_type = std::move(*machine_type);
    machine.zone = std::move(*zone);
    machine.spot = GetFlag(entry, "lendable").value_or(false);
    machine.state = *state;
    machine.age_s = GetAmount(entry, "heldS").value_or(0);
    page.machines.push_back(std::move(machine));
  }
  return page;
}

}  // namespace hallpier::wire
