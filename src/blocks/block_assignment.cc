#include "blocks/block_assignment.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "wire/json.h"

namespace hallpier::blocks {
namespace {

std::vector<std::string> NodesOf(const BlockAssignmentRecord& record) {
  std::vector<std::string> nodes;
  for (const BlockOwner& owner : record.owners) nodes.push_back(owner.node);
  return nodes;
}

// In the stored format the field "holders" lists the owners, and "grant" is the allocation epoch.
std::optional<BlockOwner> ReadOwner(const wire::JsonValue& value) {
  auto node = wire::GetText(value, "node");
  auto session = wire::GetCount(value, "session");
  auto allocation_epoch = wire::GetCount(value, "grant");
  if (!node || !session || !allocation_epoch) return std::nullopt;
  return BlockOwner{std::move(*node), *session, *allocation_epoch};
}

}  // namespace

std::string WriteBlockAssignment(const BlockAssignmentRecord& record) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("token").Uint64(record.token.value());
  w.Field("holders").StartArray();
  for (const BlockOwner& owner : record.owners) {
    w.StartObject();
    w.Field("node").Text(owner.node);
    w.Field("session").Uint64(owner.session);
    w.Field("grant").Uint64(owner.allocation_epoch);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return w.Take();
}

std::optional<BlockAssignmentRecord> ReadBlockAssignment(std::string_view json) {
  auto document = wire::ParseObject(json);
  if (!document) return std::nullopt;
  auto token = wire::GetCount(*document, "token");
  const wire::JsonValue* owners = wire::Find(*document, "holders");
  if (!token || owners == nullptr || !owners->IsArray()) return std::nullopt;
  BlockAssignmentRecord record;
  record.token = model::FencingToken(*token);
  std::set<std::string> nodes;
  for (const wire::JsonValue& value : owners->GetArray()) {
    auto owner = ReadOwner(value);
    if (!owner || !nodes.insert(owner->node).second) return std::nullopt;
    record.owners.push_back(std::move(*owner));
  }
  return record;
}

BlockAssignment::BlockAssignment(BlockAssignmentRecord record)
    : record_(std::move(record)), ranking_(NodesOf(record_)) {}

std::optional<size_t> BlockAssignment::IndexOf(const std::string& node) const {
  for (size_t i = 0; i < record_.owners.size(); ++i) {
    if (record_.owners[i].node == node) return i;
  }
  return std::nullopt;
}

std::optional<size_t> BlockAssignment::OwnerOf(std::string_view machine) const {
  if (!has_owners()) return std::nullopt;
  return ranking_.HighestRanked(machine);
}

bool BlockAssignment::MayPlace(size_t owner, const model::JobSpec& spec, model::Priority priority,
                               double waited_s, double widen_interval_s) const {
  if (priority <= model::Priority::kUrgent) return true;
  const double max_rank =
      widen_interval_s > 0 ? std::floor(std::max(0.0, waited_s) / widen_interval_s) : 0;
  return static_cast<double>(ranking_.RankOf(owner, spec.id)) <= max_rank;
}

}  // namespace hallpier::blocks
