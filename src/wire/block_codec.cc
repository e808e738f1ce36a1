#include "wire/block_codec.h"

#include "model/job.h"
#include "model/machine_view.h"
#include "model/task.h"

namespace hallpier::wire {
namespace {

// No frame holds more entries than this; a larger count is taken for a malformed one before
// anything is reserved for it.
constexpr uint64_t kMaxEntries = kMaxPeerFrame;

void PutFlag(std::string& out, bool flag) { PutVarint(out, flag ? 1 : 0); }
bool ReadFlag(VarintReader& reader) { return reader.Varint() != 0; }

void PutNames(std::string& out, const std::vector<std::string>& names) {
  PutVarint(out, names.size());
  for (const std::string& name : names) PutBytes(out, name);
}

// Reads as many as the count before them says.
template <class F>
auto ReadSeveral(VarintReader& reader, std::string_view what, F read) {
  std::vector<decltype(read(reader))> all;
  const uint64_t count = reader.Count(what, kMaxEntries);
  for (uint64_t i = 0; i < count && reader.ok(); ++i) all.push_back(read(reader));
  return all;
}

std::vector<std::string> ReadNames(VarintReader& reader, std::string_view what) {
  return ReadSeveral(reader, what, [](VarintReader& r) { return std::string(r.Bytes()); });
}

// An enumerator that is not beyond the last one.
template <class T>
T ReadEnum(VarintReader& reader, std::string_view what, T last) {
  const uint64_t number = reader.Varint();
  if (number <= static_cast<uint64_t>(last)) return static_cast<T>(number);
  reader.Refuse(what, number);
  return last;
}

void PutTaskView(std::string& out, const model::TaskView& view) {
  PutBytes(out, view.task.job);
  PutVarint(out, view.task.index);
  PutVarint(out, view.attempt);
  PutVarint(out, static_cast<uint64_t>(view.phase));
  PutVarint(out, static_cast<uint64_t>(view.cause));
  PutFlag(out, view.seen_start);
  PutVarint(out, view.for_ms);
}

model::TaskView ReadTaskView(VarintReader& reader) {
  model::TaskView view;
  view.task.job = reader.Bytes();
  view.task.index = static_cast<uint32_t>(reader.Count("a task's number", model::kMaxTasks));
  view.attempt = reader.Varint();
  view.phase = ReadEnum(reader, "a task's phase", model::TaskPhase::kExited);
  view.cause = ReadEnum(reader, "the cause of a task's end", model::ExitCause::kUnknown);
  view.seen_start = ReadFlag(reader);
  view.for_ms = reader.Varint();
  return view;
}

model::MachineView ReadMachineView(VarintReader& reader) {
  model::MachineView view;
  view.machine = reader.Bytes();
  view.machine_type = reader.Bytes();
  view.zone = reader.Bytes();
  view.spot = ReadFlag(reader);
  view.usable = ReadFlag(reader);
  view.images = ReadNames(reader, "the number of images");
  view.tasks = ReadSeveral(reader, "the number of tasks", ReadTaskView);
  return view;
}

void PutJobFailures(std::string& out, const model::JobFailures& failures) {
  PutBytes(out, failures.job);
  PutFlag(out, failures.suspected);
  PutFlag(out, failures.retry_due);
  PutNames(out, failures.failed_on);
}

model::JobFailures ReadJobFailures(VarintReader& reader) {
  model::JobFailures failures;
  failures.job = reader.Bytes();
  failures.suspected = ReadFlag(reader);
  failures.retry_due = ReadFlag(reader);
  failures.failed_on = ReadNames(reader, "the number of machines that failed a job");
  return failures;
}

}  // namespace

void PutMachineView(std::string& out, const model::MachineView& view) {
  PutBytes(out, view.machine);
  PutBytes(out, view.machine_type);
  PutBytes(out, view.zone);
  PutFlag(out, view.spot);
  PutFlag(out, view.usable);
  PutNames(out, view.images);
  PutVarint(out, view.tasks.size());
  for (const model::TaskView& task : view.tasks) PutTaskView(out, task);
}

void PutBlockView(std::string& out, const BlockView& view) {
  PutVarint(out, view.token.value());
  PutVarint(out, view.sequence);
  PutVarint(out, view.changed.size());
  for (const model::MachineView& machine : view.changed) PutMachineView(out, machine);
  PutNames(out, view.gone);
  PutVarint(out, view.failures.size());
  for (const model::JobFailures& failures : view.failures) PutJobFailures(out, failures);
}

BlockView ReadBlockView(VarintReader& reader) {
  BlockView view;
  view.token = model::FencingToken(reader.Varint());
  view.sequence = reader.Varint();
  view.changed = ReadSeveral(reader, "the number of machines", ReadMachineView);
  view.gone = ReadNames(reader, "the number of machines that are gone");
  view.failures = ReadSeveral(reader, "the number of jobs that fail", ReadJobFailures);
  return view;
}

void PutBlockAcknowledgement(std::string& out, const BlockAcknowledgement& acknowledgement) {
  PutVarint(out, acknowledgement.sequence);
  PutVarint(out, acknowledgement.session);
  PutFlag(out, acknowledgement.able);
}

BlockAcknowledgement ReadBlockAcknowledgement(VarintReader& reader) {
  BlockAcknowledgement acknowledgement;
  acknowledgement.sequence = reader.Varint();
  acknowledgement.session = reader.Varint();
  acknowledgement.able = ReadFlag(reader);
  return acknowledgement;
}

}  // namespace hallpier::wire
