#include "controller/state_dispatcher.h"

#include <optional>

#include "membership/record.h"

namespace hallpier::controller {

void StateDispatcher::OnRecord(const std::string& key, const std::string& value) {
  const store::ParsedKey parsed = store::ParseKey(key);
  switch (parsed.kind) {
    case store::KeyKind::kLeader:
      OnLeader(value);
      break;
    case store::KeyKind::kMember:
      OnMember(parsed.job, value);
      break;
    case store::KeyKind::kDivision:
      OnDivision(key, value);
      break;
    case store::KeyKind::kShare:
      OnShare(parsed.job, key, value);
      break;
    case store::KeyKind::kMachineTypes:
      OnMachineTypes(parsed.task_group, value);
      break;
    case store::KeyKind::kFormat:
      services_.job_table->Apply(parsed, value);
      services_.formats->OnRecord(value);
      break;
    case store::KeyKind::kNodeFormat:
      services_.formats->OnNodeFormat(parsed.job, value);
      break;
    case store::KeyKind::kJob:
      OnJob(parsed, value);
      break;
    case store::KeyKind::kTaskGroup:
      OnTaskGroup(parsed, value);
      break;
    case store::KeyKind::kFencingToken:
      // A node without peers can learn of it in no other way: a new token of its own whose write
      // got no answer and was carried out late makes every commit fail.
      services_.election->OnTokenSeen(services_.cache->fencing_token());
      break;
    case store::KeyKind::kFinal:
    case store::KeyKind::kOther:
      break;
  }
}

void StateDispatcher::OnLeader(const std::string& value) {
  services_.election->OnLeaderRecord(value);
  if (membership_) membership_->OnLeaderRecord();
}

void StateDispatcher::OnMember(const std::string& node, const std::string& value) {
  if (membership_) membership_->OnRecord(node, value);
  if (leader_.blocks() == nullptr) return;
  leader_.blocks()->OnMember(node, value.empty() ? std::nullopt : membership::ReadMember(value));
}

void StateDispatcher::OnDivision(const std::string& key, const std::string& value) {
  blocks::BlockRecords& records = *services_.block_records;
  records.PutDivision(value, services_.cache->Version(key));
  services_.client->SetDivided(services_.operators->blocks.enabled && records.division().divided());
  RequestHolderRound();
}

void StateDispatcher::OnShare(const std::string& node, const std::string& key,
                              const std::string& value) {
  services_.block_records->PutShare(node, value, services_.cache->Version(key));
  RequestHolderRound();
}

void StateDispatcher::OnMachineTypes(uint32_t page, const std::string& value) {
  machine_type_pages_.Put(page, value);
  if (auto all = machine_type_pages_.All()) *services_.machine_types = std::move(*all);
}

void StateDispatcher::OnJob(const store::ParsedKey& key, const std::string& value) {
  services_.job_table->Apply(key, value);
  dependency_outcomes_.OnJobsChanged();
  leader_.OnJobChanged(key.job);
  RequestHolderRound();
}

void StateDispatcher::OnTaskGroup(const store::ParsedKey& key, const std::string& value) {
  services_.job_table->Apply(key, value);
  leader_.OnTasksChanged(key);
  RequestHolderRound();
}

void StateDispatcher::RequestHolderRound() {
  if (block_holder_) block_holder_->RequestRound();
}

}  // namespace hallpier::controller
