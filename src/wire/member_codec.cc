#include "wire/member_codec.h"

#include <algorithm>
#include <limits>

#include "model/member.h"

namespace hallpier::wire {
namespace {

// No message names more controllers than this; a larger count is taken for a malformed one before
// anything is reserved for it.
constexpr uint64_t kMaxMembers = 10000;

void PutIncarnation(std::string& out, const model::Incarnation& incarnation) {
  PutVarint(out, incarnation.session);
  PutVarint(out, incarnation.refutation);
}

model::Incarnation ReadIncarnation(VarintReader& reader) {
  model::Incarnation incarnation;
  incarnation.session = reader.Varint();
  incarnation.refutation = reader.Varint();
  return incarnation;
}

void PutFlag(std::string& out, bool flag) { PutVarint(out, flag ? 1 : 0); }

model::MemberState ReadState(VarintReader& reader) {
  const uint64_t number = reader.Varint();
  if (number > static_cast<uint64_t>(model::MemberState::kLeft)) {
    reader.Refuse("a member's state", number);
    return model::MemberState::kAlive;
  }
  return static_cast<model::MemberState>(number);
}

// 0 stands for never, so that all others are one more than they are; the largest can't be.
void PutHeard(std::string& out, const std::optional<uint64_t>& heard_ms_ago) {
  constexpr uint64_t kLongest = std::numeric_limits<uint64_t>::max() - 1;
  PutVarint(out, heard_ms_ago ? std::min(*heard_ms_ago, kLongest) + 1 : 0);
}

std::optional<uint64_t> ReadHeard(VarintReader& reader) {
  const uint64_t heard = reader.Varint();
  if (heard == 0) return std::nullopt;
  return heard - 1;
}

void PutObservation(std::string& out, const model::MemberObservation& observation) {
  PutBytes(out, observation.node);
  PutIncarnation(out, observation.incarnation);
  PutVarint(out, static_cast<uint64_t>(observation.state));
  PutHeard(out, observation.heard_ms_ago);
}

model::MemberObservation ReadObservation(VarintReader& reader) {
  model::MemberObservation observation;
  observation.node = reader.Bytes();
  observation.incarnation = ReadIncarnation(reader);
  observation.state = ReadState(reader);
  observation.heard_ms_ago = ReadHeard(reader);
  return observation;
}

void PutVitals(std::string& out, const model::MemberVitals& vitals) {
  PutFlag(out, vitals.leading);
  PutFlag(out, vitals.state_direct);
  PutVarint(out, vitals.turn_delay_ms);
  PutVarint(out, vitals.worker_reports);
}

model::MemberVitals ReadVitals(VarintReader& reader) {
  model::MemberVitals vitals;
  vitals.leading = reader.Varint() != 0;
  vitals.state_direct = reader.Varint() != 0;
  vitals.turn_delay_ms = reader.Varint();
  vitals.worker_reports = reader.Varint();
  return vitals;
}

void PutRow(std::string& out, const MemberRow& row) {
  PutBytes(out, row.node);
  PutIncarnation(out, row.incarnation);
  PutVarint(out, static_cast<uint64_t>(row.state));
  PutFlag(out, row.known);
  PutFlag(out, row.leading);
  PutVarint(out, row.since_ms);
  PutVarint(out, row.suspected_by.size());
  for (const std::string& node : row.suspected_by) PutBytes(out, node);
  PutBytes(out, row.reason);
}

MemberRow ReadRow(VarintReader& reader) {
  MemberRow row;
  row.node = reader.Bytes();
  row.incarnation = ReadIncarnation(reader);
  row.state = ReadState(reader);
  row.known = reader.Varint() != 0;
  row.leading = reader.Varint() != 0;
  row.since_ms = reader.Varint();
  const uint64_t accusers = reader.Count("the number of accusers", kMaxMembers);
  for (uint64_t i = 0; i < accusers && reader.ok(); ++i) {
    row.suspected_by.emplace_back(reader.Bytes());
  }
  row.reason = reader.Bytes();
  return row;
}

}  // namespace

void PutMemberStatus(std::string& out, const MemberStatus& status) {
  PutBytes(out, status.node);
  PutIncarnation(out, status.incarnation);
  PutVarint(out, static_cast<uint64_t>(status.state));
  PutVitals(out, status.vitals);
  PutBytes(out, status.yields_to);
  PutVarint(out, status.observations.size());
  for (const model::MemberObservation& observation : status.observations) {
    PutObservation(out, observation);
  }
}

MemberStatus ReadMemberStatus(VarintReader& reader) {
  MemberStatus status;
  status.node = reader.Bytes();
  status.incarnation = ReadIncarnation(reader);
  status.state = ReadState(reader);
  status.vitals = ReadVitals(reader);
  status.yields_to = reader.Bytes();
  const uint64_t count = reader.Count("the number of observations", kMaxMembers);
  for (uint64_t i = 0; i < count && reader.ok(); ++i) {
    status.observations.push_back(ReadObservation(reader));
  }
  return status;
}

void PutMembersReport(std::string& out, const MembersReport& report) {
  PutBytes(out, report.node);
  PutFlag(out, report.enabled);
  PutVarint(out, report.rows.size());
  for (const MemberRow& row : report.rows) PutRow(out, row);
  PutBytes(out, report.handover_from);
  PutBytes(out, report.handover_to);
  PutVarint(out, report.handover_ms_ago);
}

MembersReport ReadMembersReport(VarintReader& reader) {
  MembersReport report;
  report.node = reader.Bytes();
  report.enabled = reader.Varint() != 0;
  const uint64_t count = reader.Count("the number of members", kMaxMembers);
  for (uint64_t i = 0; i < count && reader.ok(); ++i) report.rows.push_back(ReadRow(reader));
  report.handover_from = reader.Bytes();
  report.handover_to = reader.Bytes();
  report.handover_ms_ago = reader.Varint();
  return report;
}

}  // namespace hallpier::wire
