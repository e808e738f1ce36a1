#include "controller/record_dispatcher.h"

#include <optional>

#include "membership/record.h"

namespace hallpier::controller {

void StateDispatcher::OnRecord(const std::string& key, const std::string& value) {
  std::visit(store::Overloaded{
                 [&](const store::LeaderKeyName&) { OnLeader(value); },
                 [&](const store::MemberKeyName& name) { OnMember(name.node, value); },
                 [&](const store::DivisionKeyName&) { OnDivision(key, value); },
                 [&](const store::ShareKeyName& name) { OnShare(name.node, key, value); },
                 [&](const store::MachineTypesKeyName& name) { OnMachineTypes(name.page, value); },
                 [&](const store::FormatKeyName& name) {
                   services_.job_table->Apply(name, value);
                   services_.formats->OnFormatRecord(value);
                 },
                 [&](const store::NodeFormatKeyName& name) {
                   services_.formats->OnNodeFormat(name.node, value);
                 },
                 [&](const store::JobKeyName& name) { OnJob(name, value); },
                 [&](const store::TaskGroupKeyName& name) { OnTaskGroup(name, value); },
                 [&](const store::FencingTokenKeyName&) {
                   // A node without peers can learn of it in no other way: a new token of its own
                   // whose write got no answer and was carried out late makes every commit fail.
                   services_.election->OnTokenSeen(services_.cache->fencing_token());
                 },
                 // Final records are not watched.
                 [](const store::FinalKeyName&) {},
                 // A key of a newer version.
                 [](const store::UnknownKeyName&) {},
             },
             store::ParseKey(key));
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
  services_.client->SetOthersPlace(services_.operators->blocks.enabled &&
                                   records.division().divided());
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

void StateDispatcher::OnJob(const store::JobKeyName& key, const std::string& value) {
  services_.job_table->Apply(key, value);
  dependency_outcomes_.OnJobsChanged();
  leader_.OnJobChanged(key.job);
  RequestHolderRound();
}

void StateDispatcher::OnTaskGroup(const store::TaskGroupKeyName& key, const std::string& value) {
  services_.job_table->Apply(key, value);
  leader_.OnTasksChanged(key);
  RequestHolderRound();
}

void StateDispatcher::RequestHolderRound() {
  if (block_holder_) block_holder_->RequestRound();
}

}  // namespace hallpier::controller
