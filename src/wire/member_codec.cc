#include "wire/member_codec.h"

namespace hallpier::wire {
namespace {

// No message names more controllers than this; a larger count is taken for a malformed one before
// anything is reserved for it.
constexpr uint64_t kMaxMembers = 10000;

void PutIncarnation(std::string& out, const Incarnation& incarnation) {
  PutVarint(out, incarnation.session);
  PutVarint(out, incarnation.refutation);
}

Incarnation ReadIncarnation(VarintReader& reader) {
  Incarnation incarnation;
  incarnation.session = reader.Varint();
  incarnation.refutation = reader.Varint();
  return incarnation;
}

void PutFlag(std::string& out, bool flag) { PutVarint(out, flag ? 1 : 0); }

bool ReadState(VarintReader& reader, MemberState* state) {
  const uint64_t number = reader.Varint();
  if (number > static_cast<uint64_t>(MemberState::kLeft)) return false;
  *state = static_cast<MemberState>(number);
  return true;
}

void PutObservation(std::string& out, const MemberObservation& observation) {
  PutBytes(out, observation.node);
  PutIncarnation(out, observation.incarnation);
  PutVarint(out, static_cast<uint64_t>(observation.state));
  // 0 stands for never, so that all others are one more than they are.
  PutVarint(out, observation.heard_ms_ago ? *observation.heard_ms_ago + 1 : 0);
}

bool ReadObservation(VarintReader& reader, MemberObservation* observation) {
  observation->node = reader.Bytes();
  observation->incarnation = ReadIncarnation(reader);
  if (!ReadState(reader, &observation->state)) return false;
  const uint64_t heard = reader.Varint();
  if (heard > 0) observation->heard_ms_ago = heard - 1;
  return reader.ok();
}

void PutVitals(std::string& out, const MemberVitals& vitals) {
  PutFlag(out, vitals.leading);
  PutFlag(out, vitals.state_direct);
  PutVarint(out, vitals.turn_delay_ms);
  PutVarint(out, vitals.worker_reports);
}

MemberVitals ReadVitals(VarintReader& reader) {
  MemberVitals vitals;
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

bool ReadRow(VarintReader& reader, MemberRow* row) {
  row->node = reader.Bytes();
  row->incarnation = ReadIncarnation(reader);
  if (!ReadState(reader, &row->state)) return false;
  row->known = reader.Varint() != 0;
  row->leading = reader.Varint() != 0;
  row->since_ms = reader.Varint();
  const uint64_t accusers = reader.Varint();
  if (accusers > kMaxMembers) return false;
  for (uint64_t i = 0; i < accusers && reader.ok(); ++i) {
    row->suspected_by.emplace_back(reader.Bytes());
  }
  row->reason = reader.Bytes();
  return reader.ok();
}

}  // namespace

void PutMemberStatus(std::string& out, const MemberStatus& status) {
  PutBytes(out, status.node);
  PutIncarnation(out, status.incarnation);
  PutVarint(out, static_cast<uint64_t>(status.state));
  PutVitals(out, status.vitals);
  PutBytes(out, status.yields_to);
  PutVarint(out, status.observations.size());
  for (const MemberObservation& observation : status.observations) {
    PutObservation(out, observation);
  }
}

bool ReadMemberStatus(VarintReader& reader, MemberStatus* status) {
  status->node = reader.Bytes();
  status->incarnation = ReadIncarnation(reader);
  if (!ReadState(reader, &status->state)) return false;
  status->vitals = ReadVitals(reader);
  status->yields_to = reader.Bytes();
  const uint64_t count = reader.Varint();
  if (count > kMaxMembers) return false;
  for (uint64_t i = 0; i < count && reader.ok(); ++i) {
    if (!ReadObservation(reader, &status->observations.emplace_back())) return false;
  }
  return reader.ok();
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

bool ReadMembersReport(VarintReader& reader, MembersReport* report) {
  report->node = reader.Bytes();
  report->enabled = reader.Varint() != 0;
  const uint64_t count = reader.Varint();
  if (count > kMaxMembers) return false;
  for (uint64_t i = 0; i < count && reader.ok(); ++i) {
    if (!ReadRow(reader, &report->rows.emplace_back())) return false;
  }
  report->handover_from = reader.Bytes();
  report->handover_to = reader.Bytes();
  report->handover_ms_ago = reader.Varint();
  return reader.ok();
}

}  // namespace hallpier::wire
