// Encodes and decodes the cloud's JSON: machine types, machine lists, scale-out and scale-in
// requests.
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

// Returns std::nullopt if the list is missing or a type has no name, CPU count or memory size.
std::optional<std::vector<model::MachineType>> ReadMachineTypes(const JsonValue& object);
// `pages` is the total number of lists if this is the first of several; 0 if it is the only list or
// a later one.
std::string WriteMachineTypes(const std::vector<model::MachineType>& machine_types,
                              uint64_t pages = 0);

std::string WriteScaleOutRequest(const model::ScaleOutRequest& request);
// Returns the names of the machines that the cloud provided, which may be fewer than requested, or
// std::nullopt if the body is malformed.
std::optional<std::vector<std::string>> ReadScaleOutResponse(std::string_view body);
std::string WriteScaleInRequest(const std::vector<std::string>& machines);
// Returns one page of the machine list, or std::nullopt if the body is malformed.
std::optional<model::CloudMachineList> ReadMachineList(std::string_view body);

}  // namespace hallpier::wire
