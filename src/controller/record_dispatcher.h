// Passes each change of a record, as the watch brings it, to the parts of the node that depend on
// records of its kind. Owned by the controller; called by the watch's routine.
#pragma once

#include <memory>
#include <string>

#include "controller/block_placement_loop.h"
#include "controller/dependency_outcomes.h"
#include "controller/leader.h"
#include "controller/node_services.h"
#include "membership/service.h"
#include "store/keys.h"
#include "store/machine_type_pages.h"
#include "store/records.h"

namespace hallpier::controller {

class StateDispatcher {
 public:
  // Only refers to its arguments, which may be constructed after it but must outlive it. Null
  // pointers in `membership` and `block_holder`: these parts are off.
  StateDispatcher(const NodeServices& services, Leader& leader,
                  DependencyOutcomes& dependency_outcomes,
                  const std::unique_ptr<membership::Service>& membership,
                  const std::unique_ptr<BlockPlacementLoop>& block_holder)
      : services_(services),
        leader_(leader),
        dependency_outcomes_(dependency_outcomes),
        membership_(membership),
        block_holder_(block_holder) {}

  // A record has changed; an empty value: it was deleted.
  void OnRecord(const std::string& key, const std::string& value);

 private:
  void OnLeader(const std::string& value);
  void OnMember(const std::string& node, const std::string& value);
  void OnDivision(const std::string& key, const std::string& value);
  void OnShare(const std::string& node, const std::string& key, const std::string& value);
  void OnMachineTypes(uint32_t page, const std::string& value);
  void OnJob(const store::JobKeyName& key, const std::string& value);
  void OnTaskGroup(const store::TaskGroupKeyName& key, const std::string& value);
  // Something changed that the round of a block's holder should consider.
  void RequestHolderRound();

  const NodeServices& services_;
  Leader& leader_;
  DependencyOutcomes& dependency_outcomes_;
  const std::unique_ptr<membership::Service>& membership_;
  const std::unique_ptr<BlockPlacementLoop>& block_holder_;
  store::MachineTypePages machine_type_pages_;
};

}  // namespace hallpier::controller
