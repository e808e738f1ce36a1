// Dependencies that the components of a controller share. The controller owns all of them, sets
// this struct once, and outlives its components. Used on the thread of the event loop only.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "async/wait.h"
#include "blocks/block_records.h"
#include "config/operator_options.h"
#include "config/settings.h"
#include "election/leader_election.h"
#include "jobs/job_table.h"
#include "model/machine_type.h"
#include "store/client.h"
#include "store/record_formats.h"
#include "store/watch_cache.h"
#include "wire/peer_messages.h"

namespace hallpier::controller {

class StartPermission;

struct NodeServices {
  // The scope of the node's coroutines; cancelled when the node shuts down.
  async::Scope* scope;
  const config::Settings* settings;
  const config::OperatorOptions* operator_options;
  store::Client* client;
  store::WatchCache* cache;
  store::RecordFormats* formats;
  jobs::JobTable* job_table;
  // The machine types recorded in the state service; empty if not known yet.
  std::vector<model::MachineType>* machine_types;
  blocks::BlockRecords* block_records;
  election::LeaderElection* election;
  StartPermission* start_permission;
  // Returns the wall-clock time in seconds since the epoch.
  std::function<double()> time_of_day;
  // Returns the membership session of this process, or 0 if it has none.
  std::function<uint64_t()> membership_session;
  // Sends a message over the link to a node; does nothing while there is no link.
  std::function<void(const std::string& node, const wire::PeerMessage& message)> send_to_node;
};

}  // namespace hallpier::controller
