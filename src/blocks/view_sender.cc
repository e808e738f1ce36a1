#include "blocks/view_sender.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <set>

#include "wire/block_codec.h"

namespace hallpier::blocks {
namespace {

// A frame takes several times as much: a view is never too large for one.
constexpr size_t kMaxViewBytes = wire::kMaxPeerFrame / 4;

std::vector<std::string> ImagesNeeded(const jobs::Ledger& ledger) {
  std::set<std::string> images;
  for (const auto& [id, job] : ledger.all()) images.insert(job.spec.image);
  return {images.begin(), images.end()};
}

// Of a machine in another block: where its tasks are, for jobs whose zones matter.
wire::MachineView ZoneOf(const wire::MachineView& view) {
  wire::MachineView zone;
  zone.machine = view.machine;
  zone.zone = view.zone;
  return zone;
}

// How long a task has been in its phase changes all the time; the node counts on by itself.
std::string EncodedWithoutTimes(wire::MachineView view) {
  for (wire::TaskView& task : view.tasks) task.for_ms = 0;
  std::string out;
  wire::PutMachineView(out, view);
  return out;
}

}  // namespace

std::vector<wire::MachineView> DescribeMachines(const fleet::Roster& roster,
                                                const jobs::Ledger& ledger, double now) {
  const std::vector<std::string> images = ImagesNeeded(ledger);
  std::vector<wire::MachineView> views;
  views.reserve(roster.all().size());
  for (const auto& [name, machine] : roster.all()) {
    if (machine.reported()) views.push_back(roster.ViewOf(machine, images, now));
  }
  return views;
}

std::vector<wire::BlockView> ViewSender::Next(uint64_t token, const Division& division,
                                              std::optional<size_t> holder,
                                              const std::vector<wire::MachineView>& machines,
                                              std::vector<wire::JobFailures> failures) {
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
  for (const wire::MachineView& machine : machines) {
    if (!holder) break;
    const bool own = division.HolderOf(machine.machine) == holder;
    const wire::MachineView told = own ? machine : ZoneOf(machine);
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
