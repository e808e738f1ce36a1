// What the parts of a controller work with. The controller owns all of it, fills this in once, and
// outlives its parts. Used on the thread of the event loop only.
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

struct NodeServices {
  // Of the node's routines; cancelled when the node ends.
  async::Scope* scope;
  const config::Settings* settings;
  const config::OperatorOptions* operators;
  store::Client* client;
  store::WatchCache* cache;
  store::RecordFormats* formats;
  jobs::JobTable* job_table;
  // As recorded in the key-value store; empty: not known yet.
  std::vector<model::MachineType>* machine_types;
  blocks::BlockRecords* block_records;
  election::LeaderElection* election;
  // Seconds since the epoch.
  std::function<double()> time_of_day;
  // The session of this process in the membership; 0: it has none.
  std::function<uint64_t()> session;
  // Puts a message on the link to a node; does nothing while there is no link.
  std::function<void(const std::string& node, const wire::PeerMessage& message)> send;
};

}  // namespace hallpier::controller
