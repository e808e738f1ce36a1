#include "wire/member_codec.h"

#include <algorithm>
#include <limits>

#include "model/member.h"

namespace hallpier::wire {
namespace {

// No message names more controllers than this. A larger count is rejected as malformed before
// memory is reserved for it.
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

// An unknown state makes the reader fail; the returned value must not be used then.
model::MemberState ReadMemberState(VarintReader& reader) {
  return reader.Enum("member state", model::MemberState::kLeft);
}

// 0 means never, so every duration is sent incremented by one. The largest uint64_t can't be
// incremented and is sent like the next smaller value.
void PutHeardAgo(std::string& out, const std::optional<uint64_t>& last_heard_ms_ago) {
  constexpr uint64_t kMaxEncodableMs = std::numeric_limits<uint64_t>::max() - 1;
  PutVarint(out, last_heard_ms_ago ? std::min(*last_heard_ms_ago, kMaxEncodableMs) + 1 : 0);
}

std::optional<uint64_t> ReadHeardAgo(VarintReader& reader) {
  const uint64_t encoded = reader.Varint();
  if (encoded == 0) return std::nullopt;
  return encoded - 1;
}

void PutObservation(std::string& out, const model::MemberObservation& observation) {
  PutBytes(out, observation.node);
  PutIncarnation(out, observation.incarnation);
  PutEnum(out, observation.state);
  PutHeardAgo(out, observation.last_heard_ms_ago);
}

model::MemberObservation ReadObservation(VarintReader& reader) {
  model::MemberObservation observation;
  observation.node = reader.Bytes();
  observation.incarnation = ReadIncarnation(reader);
  observation.state = ReadMemberState(reader);
  observation.last_heard_ms_ago = ReadHeardAgo(reader);
  return observation;
}

void PutFitness(std::string& out, const model::LeadershipFitness& fitness) {
  PutFlag(out, fitness.leading);
  PutFlag(out, fitness.reaches_state_service);
  PutVarint(out, fitness.event_loop_lag_ms);
  PutVarint(out, fitness.recent_heartbeats);
}

model::LeadershipFitness ReadFitness(VarintReader& reader) {
  model::LeadershipFitness fitness;
  fitness.leading = reader.Flag();
  fitness.reaches_state_service = reader.Flag();
  fitness.event_loop_lag_ms = reader.Varint();
  fitness.recent_heartbeats = reader.Varint();
  return fitness;
}

void PutMemberRow(std::string& out, const MemberRow& row) {
  PutBytes(out, row.node);
  PutIncarnation(out, row.incarnation);
  PutEnum(out, row.state);
  PutFlag(out, row.has_record);
  PutFlag(out, row.leading);
  PutVarint(out, row.state_age_ms);
  PutStrings(out, row.suspected_by);
  PutBytes(out, row.reason);
}

MemberRow ReadMemberRow(VarintReader& reader) {
  MemberRow row;
  row.node = reader.Bytes();
  row.incarnation = ReadIncarnation(reader);
  row.state = ReadMemberState(reader);
  row.has_record = reader.Flag();
  row.leading = reader.Flag();
  row.state_age_ms = reader.Varint();
  row.suspected_by = reader.Strings("suspecting member count", kMaxMembers);
  row.reason = reader.Bytes();
  return row;
}

}  // namespace

void PutMemberStatus(std::string& out, const MemberStatus& status) {
  PutBytes(out, status.node);
  PutIncarnation(out, status.incarnation);
  PutEnum(out, status.state);
  PutFitness(out, status.fitness);
  PutBytes(out, status.successor);
  PutVarint(out, status.observations.size());
  for (const model::MemberObservation& observation : status.observations) {
    PutObservation(out, observation);
  }
}

MemberStatus ReadMemberStatus(VarintReader& reader) {
  MemberStatus status;
  status.node = reader.Bytes();
  status.incarnation = ReadIncarnation(reader);
  status.state = ReadMemberState(reader);
  status.fitness = ReadFitness(reader);
  status.successor = reader.Bytes();
  status.observations = reader.List("observation count", kMaxMembers, ReadObservation);
  return status;
}

void PutMembersReport(std::string& out, const MembersReport& report) {
  PutBytes(out, report.node);
  PutFlag(out, report.enabled);
  PutVarint(out, report.rows.size());
  for (const MemberRow& row : report.rows) PutMemberRow(out, row);
  PutBytes(out, report.handover_from);
  PutBytes(out, report.handover_to);
  PutVarint(out, report.handover_ms_ago);
}

MembersReport ReadMembersReport(VarintReader& reader) {
  MembersReport report;
  report.node = reader.Bytes();
  report.enabled = reader.Flag();
  report.rows = reader.List("member count", kMaxMembers, ReadMemberRow);
  report.handover_from = reader.Bytes();
  report.handover_to = reader.Bytes();
  report.handover_ms_ago = reader.Varint();
  return report;
}

}  // namespace hallpier::wire
