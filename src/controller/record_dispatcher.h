// Dispatches each record change from the watch to the components of the node that depend on records
// of that kind. Owned by the controller; called by the watch's coroutine.
#pragma once

#include <memory>
#include <string>

#include "controller/block_placement_loop.h"
#include "controller/cancellation_fence.h"
#include "controller/dependency_outcomes.h"
#include "controller/leader.h"
#include "controller/node_services.h"
#include "membership/service.h"
#include "store/keys.h"
#include "store/machine_type_pages.h"
#include "store/records.h"

namespace hallpier::controller {

class RecordDispatcher {
 public:
  // Stores references to its arguments, which may be constructed after it but must outlive it.
  // `membership` and `block_placement` are null if these components are disabled.
  RecordDispatcher(const NodeServices& services, Leader& leader,
                   CancellationFence& cancellation_fence, DependencyOutcomes& dependency_outcomes,
                   const std::unique_ptr<membership::Service>& membership,
                   const std::unique_ptr<BlockPlacementLoop>& block_placement)
      : services_(services),
        leader_(leader),
        cancellation_fence_(cancellation_fence),
        dependency_outcomes_(dependency_outcomes),
        membership_(membership),
        block_placement_(block_placement) {}

  // Handles a record that was changed, or deleted if the value is empty.
  void OnRecordChanged(const std::string& key, const std::string& value);
  // Handles the end of a batch of changed records, all of which have been passed to
  // OnRecordChanged().
  void OnBatchEnd() const { services_.job_table->FinishBatch(); }

 private:
  void OnLeader(const std::string& value);
  void OnMember(const std::string& node, const std::string& value);
  void OnBlockAssignment(const std::string& key, const std::string& value);
  void OnAllocation(const std::string& node, const std::string& key, const std::string& value);
  void OnMachineTypes(uint32_t page, const std::string& value);
  void OnJob(const store::JobKeyName& key, const std::string& value);
  void OnTaskGroup(const store::TaskGroupKeyName& key, const std::string& value);
  // Requests a round of this node as the owner of a block, after a change that it should consider.
  void RequestBlockRound();

  const NodeServices& services_;
  Leader& leader_;
  CancellationFence& cancellation_fence_;
  DependencyOutcomes& dependency_outcomes_;
  const std::unique_ptr<membership::Service>& membership_;
  const std::unique_ptr<BlockPlacementLoop>& block_placement_;
  store::MachineTypePages machine_type_pages_;
};

}  // namespace hallpier::controller
