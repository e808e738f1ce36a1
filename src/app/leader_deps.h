// What the leader's duties work with.
#pragma once

#include <functional>
#include <vector>

#include "config/settings.h"
#include "jobs/ledger.h"
#include "lead/leadership.h"
#include "store/client.h"
#include "store/formats.h"
#include "store/replica.h"

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
};

}  // namespace hallpier::app
