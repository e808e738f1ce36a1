#include "controller/record_dispatcher.h"

#include <optional>

#include "membership/member_record.h"

namespace hallpier::controller {

void RecordDispatcher::OnRecordChanged(const std::string& key, const std::string& value) {
  std::visit(store::Overloaded{
                 [&](const store::LeaderKeyName&) { OnLeader(value); },
                 [&](const store::MemberKeyName& name) { OnMember(name.node, value); },
                 [&](const store::BlockAssignmentKeyName&) { OnBlockAssignment(key, value); },
                 [&](const store::AllocationKeyName& name) { OnAllocation(name.node, key, value); },
                 [&](const store::MachineTypesKeyName& name) { OnMachineTypes(name.page, value); },
                 [&](const store::FormatKeyName& name) {
                   services_.job_table->ApplyInBatch(name, value);
                   services_.formats->OnFormatRecord(value);
                 },
                 [&](const store::NodeFormatKeyName& name) {
                   services_.formats->OnNodeFormat(name.node, value);
                 },
                 [&](const store::JobKeyName& name) { OnJob(name, value); },
                 [&](const store::TaskGroupKeyName& name) { OnTaskGroup(name, value); },
                 [&](const store::FencingTokenKeyName&) {
                   // A node without peers can't learn of a token in any other way. If its own write
                   // of a new token gets no response and is executed late, every commit fails until
                   // the node learns of that token.
                   services_.election->OnTokenSeen(services_.cache->fencing_token());
                 },
                 // The watch does not cover final records.
                 [](const store::FinalKeyName&) {},
                 // A key of a newer software version.
                 [](const store::UnknownKeyName&) {},
             },
             store::ParseKey(key));
}

void RecordDispatcher::OnLeader(const std::string& value) {
  services_.election->OnLeaderRecord(value);
  if (membership_) membership_->OnLeaderRecord();
}

void RecordDispatcher::OnMember(const std::string& node, const std::string& value) {
  if (membership_) membership_->OnRecord(node, value);
  if (leader_.block_coordinator() == nullptr) return;
  leader_.block_coordinator()->OnMemberRecord(
      node, value.empty() ? std::nullopt : membership::ReadMember(value));
}

void RecordDispatcher::OnBlockAssignment(const std::string& key, const std::string& value) {
  blocks::BlockRecords& records = *services_.block_records;
  records.SetBlockAssignment(value, services_.cache->Version(key));
  services_.client->SetOtherNodesPlaceTasks(services_.operator_options->blocks.enabled &&
                                            records.block_assignment().has_owners());
  RequestBlockRound();
}

void RecordDispatcher::OnAllocation(const std::string& node, const std::string& key,
                                    const std::string& value) {
  services_.block_records->SetAllocation(node, value, services_.cache->Version(key));
  RequestBlockRound();
}

void RecordDispatcher::OnMachineTypes(uint32_t page, const std::string& value) {
  machine_type_pages_.Put(page, value);
  if (auto all = machine_type_pages_.AllIfComplete()) *services_.machine_types = std::move(*all);
}

void RecordDispatcher::OnJob(const store::JobKeyName& key, const std::string& value) {
  services_.job_table->ApplyInBatch(key, value);
  cancellation_fence_.OnJobChanged(key.job);
  dependency_outcomes_.OnJobsChanged();
  leader_.OnJobChanged(key.job);
  RequestBlockRound();
}

void RecordDispatcher::OnTaskGroup(const store::TaskGroupKeyName& key, const std::string& value) {
  services_.job_table->ApplyInBatch(key, value);
  leader_.OnTaskGroupChanged(key);
  RequestBlockRound();
}

void RecordDispatcher::RequestBlockRound() {
  if (block_placement_) block_placement_->RequestRound();
}

}  // namespace hallpier::controller
