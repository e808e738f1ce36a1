// What the leader's duties work with.
#pragma once

#include <functional>
#include <vector>

#include "blocks/block_records.h"
#include "config/settings.h"
#include "jobs/ledger.h"
#include "lead/leadership.h"
#include "store/client.h"
#include "store/formats.h"
#include "store/replica.h"
#include "wire/peer.h"

namespace hallpier::app {

struct LeaderDeps {
  const config::Settings* settings;
  const config::Operator* operators;
  store::Client* client;
  store::Replica* replica;
  store::Formats* formats;
  jobs::Ledger* ledger;
  std::vector<wire::Flavor>* flavors;
  lead::Leadership* leadership;
  std::function<double()> time_of_day;
  blocks::BlockRecords* records;
  // The session of this process in the membership; 0: it has none.
  std::function<uint64_t()> session;
  // Puts a message on the link to a node; nothing happens while there is none.
  std::function<void(const std::string& node, const wire::PeerMessage& message)> send;
};

}  // namespace hallpier::app
