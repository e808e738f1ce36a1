#include "blocks/block_view_builder.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <set>

#include "fleet/machine_views.h"
#include "wire/block_codec.h"
#include "wire/peer_codec.h"

namespace hallpier::blocks {
namespace {

// Limit on the part of a view that describes machines. A frame holds four times as much, so that a
// view always fits.
constexpr size_t kMaxViewBytes = wire::kMaxPeerFrameBytes / 4;

std::vector<std::string> ImagesNeeded(const jobs::JobTable& job_table) {
  std::set<std::string> images;
  for (const auto& [id, job] : job_table.jobs()) images.insert(job.spec.image);
  return {images.begin(), images.end()};
}

// Returns the part of a view that is sent for a machine of another block: the zone of its tasks,
// for jobs that depend on zones.
model::MachineView ZoneOnly(const model::MachineView& view) {
  model::MachineView zone;
  zone.machine = view.machine;
  zone.zone = view.zone;
  return zone;
}

// Leaves out how long each task has been in its phase: this changes constantly, and the receiving
// node advances it itself.
std::string EncodedWithoutTimes(model::MachineView view) {
  for (model::TaskView& task : view.tasks) task.phase_age_ms = 0;
  std::string out;
  wire::PutMachineView(out, view);
  return out;
}

}  // namespace

std::vector<model::MachineView> DescribeMachines(const fleet::WorkerRegistry& registry,
                                                 const jobs::JobTable& job_table, double now) {
  const std::vector<std::string> images = ImagesNeeded(job_table);
  std::vector<model::MachineView> views;
  views.reserve(registry.machines().size());
  for (const auto& [name, machine] : registry.machines()) {
    if (machine.has_reported())
      views.push_back(fleet::DescribeMachine(registry, machine, images, now));
  }
  return views;
}

std::vector<wire::BlockView> BlockViewBuilder::BuildViews(
    model::FencingToken token, const BlockAssignment& block_assignment, std::optional<size_t> owner,
    const std::vector<model::MachineView>& machines, std::vector<model::JobFailures> failures) {
  if (sequence_ == 0) sent_hashes_.clear();
  std::vector<wire::BlockView> views;
  size_t bytes = 0;
  auto start_view = [&] {
    wire::BlockView& view = views.emplace_back();
    view.token = token;
    view.sequence = ++sequence_;
    bytes = 0;
  };
  start_view();
  std::map<std::string, uint64_t> hashes;
  for (const model::MachineView& machine : machines) {
    if (!owner) break;
    const bool in_own_block = block_assignment.OwnerOf(machine.machine) == owner;
    const model::MachineView view_of_machine = in_own_block ? machine : ZoneOnly(machine);
    const std::string encoded = EncodedWithoutTimes(view_of_machine);
    const uint64_t hash = XXH3_64bits(encoded.data(), encoded.size());
    hashes[machine.machine] = hash;
    auto sent = sent_hashes_.find(machine.machine);
    if (sent != sent_hashes_.end() && sent->second == hash) continue;
    if (bytes + encoded.size() > kMaxViewBytes) start_view();
    bytes += encoded.size();
    views.back().changed.push_back(view_of_machine);
  }
  for (const auto& [machine, hash] : sent_hashes_) {
    if (!hashes.contains(machine)) views.back().removed.push_back(machine);
  }
  views.back().failures = std::move(failures);
  sent_hashes_ = std::move(hashes);
  return views;
}

}  // namespace hallpier::blocks
