#include "wire/block_codec.h"

#include "model/job.h"
#include "model/machine_view.h"
#include "model/task.h"
#include "wire/peer_codec.h"

namespace hallpier::wire {
namespace {

// An entry takes at least one byte, so no frame holds more entries than this. A larger count is
// rejected as malformed before memory is reserved for it.
constexpr uint64_t kMaxEntries = kMaxPeerFrameBytes;

void PutTaskView(std::string& out, const model::TaskView& view) {
  PutBytes(out, view.task.job);
  PutVarint(out, view.task.index);
  PutVarint(out, view.attempt);
  PutEnum(out, view.phase);
  PutEnum(out, view.cause);
  PutFlag(out, view.start_observed);
  PutVarint(out, view.phase_age_ms);
}

model::TaskView ReadTaskView(VarintReader& reader) {
  model::TaskView view;
  view.task.job = reader.Bytes();
  view.task.index = static_cast<uint32_t>(reader.Count("task index", model::kMaxTasksPerJob));
  view.attempt = reader.Varint();
  view.phase = reader.Enum("task phase", model::TaskPhase::kExited);
  view.cause = reader.Enum("task exit cause", model::ExitCause::kUnknown);
  view.start_observed = reader.Flag();
  view.phase_age_ms = reader.Varint();
  return view;
}

model::MachineView ReadMachineView(VarintReader& reader) {
  model::MachineView view;
  view.machine = reader.Bytes();
  view.machine_type = reader.Bytes();
  view.zone = reader.Bytes();
  view.spot = reader.Flag();
  view.accepts_tasks = reader.Flag();
  view.images = reader.Strings("image count", kMaxEntries);
  view.tasks = reader.List("task count", kMaxEntries, ReadTaskView);
  return view;
}

void PutJobFailures(std::string& out, const model::JobFailures& failures) {
  PutBytes(out, failures.job);
  PutFlag(out, failures.suspected);
  PutFlag(out, failures.retry_allowed);
  PutStrings(out, failures.failed_on);
}

model::JobFailures ReadJobFailures(VarintReader& reader) {
  model::JobFailures failures;
  failures.job = reader.Bytes();
  failures.suspected = reader.Flag();
  failures.retry_allowed = reader.Flag();
  failures.failed_on = reader.Strings("failed machine count", kMaxEntries);
  return failures;
}

}  // namespace

void PutMachineView(std::string& out, const model::MachineView& view) {
  PutBytes(out, view.machine);
  PutBytes(out, view.machine_type);
  PutBytes(out, view.zone);
  PutFlag(out, view.spot);
  PutFlag(out, view.accepts_tasks);
  PutStrings(out, view.images);
  PutVarint(out, view.tasks.size());
  for (const model::TaskView& task : view.tasks) PutTaskView(out, task);
}

void PutBlockView(std::string& out, const BlockView& view) {
  PutVarint(out, view.token.value());
  PutVarint(out, view.sequence);
  PutVarint(out, view.changed.size());
  for (const model::MachineView& machine : view.changed) PutMachineView(out, machine);
  PutStrings(out, view.removed);
  PutVarint(out, view.failures.size());
  for (const model::JobFailures& failures : view.failures) PutJobFailures(out, failures);
}

BlockView ReadBlockView(VarintReader& reader) {
  BlockView view;
  view.token = model::FencingToken(reader.Varint());
  view.sequence = reader.Varint();
  view.changed = reader.List("machine count", kMaxEntries, ReadMachineView);
  view.removed = reader.Strings("removed machine count", kMaxEntries);
  view.failures = reader.List("failing job count", kMaxEntries, ReadJobFailures);
  return view;
}

void PutBlockAcknowledgement(std::string& out, const BlockAcknowledgement& acknowledgement) {
  PutVarint(out, acknowledgement.sequence);
  PutVarint(out, acknowledgement.session);
  PutFlag(out, acknowledgement.can_place);
}

BlockAcknowledgement ReadBlockAcknowledgement(VarintReader& reader) {
  BlockAcknowledgement acknowledgement;
  acknowledgement.sequence = reader.Varint();
  acknowledgement.session = reader.Varint();
  acknowledgement.can_place = reader.Flag();
  return acknowledgement;
}

}  // namespace hallpier::wire
