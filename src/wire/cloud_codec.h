// The cloud's JSON: machine types, lists of machines, scaling out and in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/cloud.h"
#include "model/machine_type.h"
#include "wire/json.h"

namespace hallpier::wire {

// Nothing if a type lacks its name, processors or memory.
std::optional<std::vector<model::MachineType>> ReadMachineTypes(const JsonValue& object);
// `pages`: of how many lists this is the first; 0: it is the only one, or not the first.
std::string WriteMachineTypes(const std::vector<model::MachineType>& machine_types,
                              uint64_t pages = 0);

std::string WriteScaleOutRequest(const model::ScaleOutRequest& request);
// The names of the machines that were granted; they may be fewer than asked for.
std::optional<std::vector<std::string>> ReadScaleOutResponse(std::string_view body);
std::string WriteScaleInRequest(const std::vector<std::string>& machines);
std::optional<model::CloudMachineList> ReadMachineList(std::string_view body);

}  // namespace hallpier::wire
