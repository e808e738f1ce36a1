#include "wire/cloud_codec.h"

#include "wire/enum_names.h"

namespace hallpier::wire {
namespace {

constexpr EnumNames<model::CloudMachineState, 3> kMachineStates = {
    {{model::CloudMachineState::kBooting, "starting"},
     {model::CloudMachineState::kRunning, "running"},
     {model::CloudMachineState::kFailed, "failed"}}};

}  // namespace

std::optional<std::vector<model::MachineType>> ReadMachineTypes(const JsonValue& v) {
  const JsonValue* list = Find(v, "flavors");
  if (list == nullptr || !list->IsArray()) return std::nullopt;
  std::vector<model::MachineType> out;
  for (const auto& f : list->GetArray()) {
    auto name = GetText(f, "sku");
    auto cpus = GetAmount(f, "vcpus");
    auto memory = GetAmount(f, "memGb");
    if (!name || name->empty() || !cpus || !memory) return std::nullopt;
    model::MachineType o;
    o.name = std::move(*name);
    o.cpus = *cpus;
    o.memory_gb = *memory;
    o.gpus = GetAmount(f, "cards").value_or(0);
    o.fetch_gb_per_s = GetAmount(f, "fetchGbPerS").value_or(0);
    o.price = GetAmount(f, "rate").value_or(0);
    o.spot_price = GetAmount(f, "marketPrice").value_or(0);
    o.boot_s = GetAmount(f, "readyS").value_or(0);
    o.zones = GetTexts(Find(f, "halls"));
    out.push_back(std::move(o));
  }
  return out;
}

std::string WriteMachineTypes(const std::vector<model::MachineType>& machine_types,
                              uint64_t pages) {
  JsonWriter w;
  w.StartObject();
  w.Field("flavors").StartArray();
  for (const model::MachineType& f : machine_types) {
    w.StartObject();
    w.Field("sku").Text(f.name);
    w.Field("vcpus").Double(f.cpus);
    w.Field("cards").Double(f.gpus);
    w.Field("memGb").Double(f.memory_gb);
    w.Field("fetchGbPerS").Double(f.fetch_gb_per_s);
    w.Field("rate").Double(f.price);
    w.Field("marketPrice").Double(f.spot_price);
    w.Field("readyS").Double(f.boot_s);
    w.Field("halls").StartArray();
    for (const auto& z : f.zones) w.Text(z);
    w.EndArray();
    w.EndObject();
  }
  w.EndArray();
  if (pages > 0) w.Field("pages").Uint64(pages);
  w.EndObject();
  return w.Take();
}

std::string WriteScaleOutRequest(const model::ScaleOutRequest& r) {
  JsonWriter w;
  w.StartObject();
  w.Field("hire").Text(r.request);
  w.Field("flavor").Text(r.machine_type);
  w.Field("hall").Text(r.zone);
  w.Field("lendable").Bool(r.spot);
  w.Field("howMany").Int(r.count);
  w.EndObject();
  return w.Take();
}

std::optional<std::vector<std::string>> ReadScaleOutResponse(std::string_view body) {
  auto d = ParseObject(body);
  if (!d) return std::nullopt;
  const JsonValue* list = Find(*d, "hosts");
  if (list == nullptr || !list->IsArray()) return std::nullopt;
  return GetTexts(list);
}

std::string WriteScaleInRequest(const std::vector<std::string>& machines) {
  JsonWriter w;
  w.StartObject();
  w.Field("hosts").StartArray();
  for (const auto& m : machines) w.Text(m);
  w.EndArray();
  w.EndObject();
  return w.Take();
}

std::optional<model::CloudMachineList> ReadMachineList(std::string_view body) {
  auto d = ParseObject(body);
  if (!d) return std::nullopt;
  const JsonValue* list = Find(*d, "hosts");
  if (list == nullptr || !list->IsArray()) return std::nullopt;
  model::CloudMachineList out;
  out.more = GetFlag(*d, "truncated").value_or(false);
  for (const auto& v : list->GetArray()) {
    auto id = GetText(v, "id");
    auto machine_type = GetText(v, "flavor");
    auto zone = GetText(v, "hall");
    auto state = GetEnum(kMachineStates, v, "phase");
    if (!id || id->empty() || !machine_type || !zone || !state) return std::nullopt;
    model::CloudMachine m;
    m.machine = std::move(*id);
    m.endpoint = GetText(v, "endpoint").value_or("");
    m.machine_type = std::move(*machine_type);
    m.zone = std::move(*zone);
    m.spot = GetFlag(v, "lendable").value_or(false);
    m.state = *state;
    m.age_s = GetAmount(v, "heldS").value_or(0);
    out.machines.push_back(std::move(m));
  }
  return out;
}

}  // namespace hallpier::wire
