#include "model/job.h"

#include <algorithm>

namespace hallpier::model {
namespace {

constexpr std::string_view kJobIdPrefix = "run-";
constexpr size_t kMaxJobIdLength = 64;

}  // namespace

bool JobSpec::AllowsMachineType(std::string_view machine_type) const {
  return machine_types.empty() ||
         std::find(machine_types.begin(), machine_types.end(), machine_type) != machine_types.end();
}

bool IsJobId(std::string_view id) {
  if (!id.starts_with(kJobIdPrefix)) return false;
  if (id.size() == kJobIdPrefix.size() || id.size() > kMaxJobIdLength) return false;
  const std::string_view digits = id.substr(kJobIdPrefix.size());
  return std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace hallpier::model
