// Decides whether this node, as the leader, may start tasks of a job now: only while it knows every
// cancellation of the job that any node may have acknowledged (election/start_lease.h). Owned by
// the controller; used on the thread of its event loop.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "async/wait.h"
#include "controller/cancellation_exchange.h"
#include "model/key_value.h"
#include "store/linearizable_read.h"

namespace hallpier::controller {

class StartPermission {
 public:
  // All references must outlive this object; they may be constructed after it.
  StartPermission(async::Scope& scope, CancellationExchange& cancellations,
                  store::LinearizableRead& linearizable_read)
      : scope_(scope), cancellations_(cancellations), linearizable_read_(linearizable_read) {}

  // True if a command that starts tasks of the job may be sent at once.
  bool MayStart(const std::string& job) const;
  // Handles the success of a transaction that was requested at `requested_at` (steady time, s).
  // Jobs whose records are among its preconditions had not been cancelled by then.
  void OnCommitted(const std::vector<model::Precondition>& preconditions, double requested_at);
  // Brings this node's knowledge of cancellations up to date until `has_permission` holds. Returns
  // false if it does not hold after `limit_s` seconds, or if `waiting_scope`, the scope of the
  // caller, is cancelled.
  async::Task<bool> Await(async::Scope& waiting_scope, std::function<bool()> has_permission,
                          double limit_s);

 private:
  async::Scope& scope_;
  CancellationExchange& cancellations_;
  store::LinearizableRead& linearizable_read_;
  // Steady time as of which the record of a job was last known not to be cancelled, from commits.
  // Contains only times within the last start lease.
  std::unordered_map<std::string, double> not_cancelled_at_;
};

}  // namespace hallpier::controller
