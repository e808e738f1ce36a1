#include "blocks/block_assignment.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "wire/json.h"

namespace hallpier::blocks {
namespace {

std::vector<std::string> NodesOf(const BlockAssignmentRecord& record) {
  std::vector<std::string> nodes;
  for (const BlockOwner& holder : record.holders) nodes.push_back(holder.node);
  return nodes;
}

std::optional<BlockOwner> ReadHolder(const wire::JsonValue& value) {
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
  for (const BlockOwner& holder : record.holders) {
    w.StartObject();
    w.Field("node").Text(holder.node);
    w.Field("session").Uint64(holder.session);
    w.Field("grant").Uint64(holder.allocation_epoch);
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
  const wire::JsonValue* holders = wire::Find(*document, "holders");
  if (!token || holders == nullptr || !holders->IsArray()) return std::nullopt;
  BlockAssignmentRecord record;
  record.token = model::FencingToken(*token);
  std::set<std::string> nodes;
  for (const wire::JsonValue& value : holders->GetArray()) {
    auto holder = ReadHolder(value);
    if (!holder || !nodes.insert(holder->node).second) return std::nullopt;
    record.holders.push_back(std::move(*holder));
  }
  return record;
}

BlockAssignment::BlockAssignment(BlockAssignmentRecord record)
    : record_(std::move(record)), order_(NodesOf(record_)) {}

std::optional<size_t> BlockAssignment::IndexOf(const std::string& node) const {
  for (size_t i = 0; i < record_.holders.size(); ++i) {
    if (record_.holders[i].node == node) return i;
  }
  return std::nullopt;
}

std::optional<size_t> BlockAssignment::OwnerOf(std::string_view machine) const {
  if (!has_owners()) return std::nullopt;
  return order_.HighestRanked(machine);
}

bool BlockAssignment::MayPlace(size_t holder, const model::JobSpec& spec, model::Priority priority,
                               double waited_s, double widen_s) const {
  if (priority <= model::Priority::kUrgent) return true;
  const double open = widen_s > 0 ? std::floor(std::max(0.0, waited_s) / widen_s) : 0;
  return static_cast<double>(order_.RankOf(holder, spec.id)) <= open;
}

}  // namespace hallpier::blocks
