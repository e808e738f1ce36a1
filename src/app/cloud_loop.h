// The leader's dealings with the cloud: machine types, the list of machines, renting, returning.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "app/leader_deps.h"
#include "fleet/renter.h"
#include "fleet/roster.h"
#include "net/http_client.h"
#include "plan/round.h"
#include "store/budget.h"

namespace hallpier::app {

class CloudLoop {
 public:
  // Machines that one request to the cloud may return.
  static constexpr size_t kReturnsPerCall = 100;

  // `changed`: something came that a round should look at.
  CloudLoop(LeaderDeps deps, fleet::Roster& roster, plan::Context& context,
            std::function<void()> changed);

  // The routine of a term; it ends with the scope, or once the lead is given up.
  rt::Task<> Run(rt::Scope& term);
  // What the last round would have machines for.
  void Want(std::vector<plan::Want> wants) { wants_ = std::move(wants); }

 private:
  rt::Task<std::optional<wire::HttpResponse>> Call(rt::Scope& term, wire::HttpRequest request);
  rt::Task<> LearnFlavors(rt::Scope& term);
  rt::Task<bool> List(rt::Scope& term);
  rt::Task<> Rent(rt::Scope& term);
  rt::Task<> Return(rt::Scope& term);
  // True while silence says more of a pause of this process than of the workers.
  bool JustResumed(double now, double resumed_at) const;

  LeaderDeps deps_;
  fleet::Roster& roster_;
  plan::Context& context_;
  const std::function<void()> changed_;
  fleet::Renter renter_;
  net::HttpClient cloud_;
  store::Budget budget_;
  std::vector<plan::Want> wants_;
  double flavors_at_ = -1;
  int list_pages_ = 0;  // of the last list
};

}  // namespace hallpier::app
