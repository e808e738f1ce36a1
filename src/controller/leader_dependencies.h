// What the leader's duties work with.
#pragma once

#include <functional>
#include <vector>

#include "blocks/block_records.h"
#include "config/settings.h"
#include "election/leader_election.h"
#include "jobs/job_table.h"
#include "model/machine_type.h"
#include "store/client.h"
#include "store/record_formats.h"
#include "store/watch_cache.h"
#include "wire/peer.h"

namespace hallpier::controller {

struct LeaderDependencies {
  const config::Settings* settings;
  const config::Operator* operators;
  store::Client* client;
  store::WatchCache* cache;
  store::RecordFormats* formats;
  jobs::JobTable* job_table;
  std::vector<model::MachineType>* machine_types;
  election::LeaderElection* election;
  std::function<double()> time_of_day;
  blocks::BlockRecords* records;
  // The session of this process in the membership; 0: it has none.
  std::function<uint64_t()> session;
  // Puts a message on the link to a node; nothing happens while there is none.
  std::function<void(const std::string& node, const wire::PeerMessage& message)> send;
};

}  // namespace hallpier::controller
