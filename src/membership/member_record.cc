#include "membership/member_record.h"

#include <array>

#include "wire/json.h"

namespace hallpier::membership {
namespace {

constexpr std::array kStates = {model::MemberState::kAlive, model::MemberState::kSuspect,
                                model::MemberState::kFailed, model::MemberState::kLeft};

std::optional<model::MemberState> ParseState(std::string_view name) {
  for (const model::MemberState state : kStates) {
    if (StateName(state) == name) return state;
  }
  return std::nullopt;
}

}  // namespace

std::string_view StateName(model::MemberState state) {
  switch (state) {
    case model::MemberState::kAlive:
      return "alive";
    case model::MemberState::kSuspect:
      return "suspect";
    case model::MemberState::kFailed:
      return "failed";
    case model::MemberState::kLeft:
      return "left";
  }
  return "";
}

std::string WriteMember(const MemberRecord& record) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("state").Text(StateName(record.state));
  w.Field("session").Uint64(record.incarnation.session);
  w.Field("refutation").Uint64(record.incarnation.refutation);
  w.Field("instance").Uint64(record.instance);
  if (!record.by.empty()) w.Field("by").Text(record.by);
  if (!record.reason.empty()) w.Field("reason").Text(record.reason);
  w.EndObject();
  return w.Take();
}

std::optional<MemberRecord> ReadMember(std::string_view json) {
  auto document = wire::ParseObject(json);
  if (!document) return std::nullopt;
  auto name = wire::GetText(*document, "state");
  auto state = name ? ParseState(*name) : std::nullopt;
  auto session = wire::GetCount(*document, "session");
  if (!state || !session || *session == 0) return std::nullopt;
  MemberRecord record;
  record.state = *state;
  record.incarnation.session = *session;
  record.incarnation.refutation = wire::GetCount(*document, "refutation").value_or(0);
  record.instance = wire::GetCount(*document, "instance").value_or(0);
  record.by = wire::GetText(*document, "by").value_or("");
  record.reason = wire::GetText(*document, "reason").value_or("");
  return record;
}

}  // namespace hallpier::membership
