// Reads how awaited jobs ended. Final records lie outside the warm copy, and only those that
// unfinished jobs name are kept: each is read once, by every node, so that whoever takes the lead
// knows them already.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "jobs/ledger.h"
#include "rt/loop.h"
#include "store/client.h"
#include "store/replica.h"

namespace hallpier::app {

class AwaitedFinals {
 public:
  // `found` is called whenever one more is known.
  AwaitedFinals(rt::Scope& scope, store::Client& client, store::Replica& replica,
                jobs::Ledger& ledger, std::function<void()> found)
      : scope_(scope),
        client_(client),
        replica_(replica),
        ledger_(ledger),
        found_(std::move(found)) {}

  rt::Task<> Run();
  // True once nothing of what a job needs is unknown; false if that takes longer than `limit_s`.
  rt::Task<bool> Settled(std::string id, double limit_s);
  // Some job's record has changed or is gone.
  void OnChange();

 private:
  rt::Task<> Read(std::string id);

  rt::Scope& scope_;
  store::Client& client_;
  store::Replica& replica_;
  jobs::Ledger& ledger_;
  const std::function<void()> found_;
  std::set<std::string> reading_;
  rt::Event wake_;
  rt::Event known_;  // one more
};

}  // namespace hallpier::app
