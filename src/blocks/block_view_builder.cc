#include "blocks/block_view_builder.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <set>

#include "fleet/machine_views.h"
#include "wire/block_codec.h"
#include "wire/peer_codec.h"

namespace hallpier::blocks {
namespace {

// A frame takes several times as much: a view is never too large for one.
constexpr size_t kMaxViewBytes = wire::kMaxPeerFrameBytes / 4;

std::vector<std::string> ImagesNeeded(const jobs::JobTable& job_table) {
  std::set<std::string> images;
  for (const auto& [id, job] : job_table.all()) images.insert(job.spec.image);
  return {images.begin(), images.end()};
}

// Of a machine in another block: where its tasks are, for jobs whose zones matter.
model::MachineView ZoneOf(const model::MachineView& view) {
  model::MachineView zone;
  zone.machine = view.machine;
  zone.zone = view.zone;
  return zone;
}

// How long a task has been in its phase changes all the time; the node counts on by itself.
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
    model::FencingToken token, const BlockAssignment& block_assignment,
    std::optional<size_t> holder, const std::vector<model::MachineView>& machines,
    std::vector<model::JobFailures> failures) {
  if (sequence_ == 0) told_.clear();
  std::vector<wire::BlockView> views;
  size_t bytes = 0;
  auto begin = [&] {
    wire::BlockView& view = views.emplace_back();
    view.token = token;
    view.sequence = ++sequence_;
    bytes = 0;
  };
  begin();
  std::map<std::string, uint64_t> known;
  for (const model::MachineView& machine : machines) {
    if (!holder) break;
    const bool own = block_assignment.OwnerOf(machine.machine) == holder;
    const model::MachineView told = own ? machine : ZoneOf(machine);
    const std::string encoded = EncodedWithoutTimes(told);
    const uint64_t hash = XXH3_64bits(encoded.data(), encoded.size());
    known[machine.machine] = hash;
    auto before = told_.find(machine.machine);
    if (before != told_.end() && before->second == hash) continue;
    if (bytes + encoded.size() > kMaxViewBytes) begin();
    bytes += encoded.size();
    views.back().changed.push_back(told);
  }
  for (const auto& [machine, hash] : told_) {
    if (!known.contains(machine)) views.back().gone.push_back(machine);
  }
  views.back().failures = std::move(failures);
  told_ = std::move(known);
  return views;
}

}  // namespace hallpier::blocks
