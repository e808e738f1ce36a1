// Computes the commands for a worker from the watch cache, as far as the cache is current. Owned by
// the leader; does no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "async/wait.h"
#include "controller/node_services.h"
#include "fleet/worker_registry.h"
#include "model/heartbeat.h"

namespace hallpier::controller {

class CommandSource {
 public:
  // Both references must outlive this object.
  CommandSource(const NodeServices& services, fleet::WorkerRegistry& registry)
      : services_(services), registry_(registry) {}

  // Starts a term with the election's current token.
  void BeginTerm();
  // True if decisions may be based on the watch cache. The cache may lag behind the last writes of
  // the previous leader: until it has passed the first write of this leader, tasks that it lacks
  // would be stopped or forgotten as unrecorded. After a pause of the process it must catch up
  // again, since a task may have been cancelled in the meantime.
  bool CacheIsCurrent() const;
  // True if CommandsFor() would omit a start because this node may not know the newest
  // cancellations.
  bool OmitsStarts(const fleet::Machine& machine) const;
  // True if the machine's commands should wait for the permission to start its tasks: it has starts
  // that would be omitted, and no task to stop because of a cancellation.
  bool ShouldAwaitStartPermission(const fleet::Machine& machine) const;
  // Waits for a short time until no start for a machine has to be omitted. Callers compute the
  // commands afterwards in any case. Ends early if the caller's scope is cancelled.
  async::Task<> AwaitStartPermission(async::Scope& scope, std::string machine);
  // True if commands that CommandsFor() has returned may still be sent: the jobs of all tasks that
  // they start may be started and are not cancelled.
  bool MayStillSend(const std::vector<model::WorkerCommand>& commands) const;
  // Returns the commands for a machine, without starts of tasks that may have been cancelled. If
  // `direct`, the caller sends them as a direct command and must call
  // fleet::OnDirectCommandFinished() when it ends. Otherwise the caller sends them in the response
  // to a heartbeat.
  std::vector<model::WorkerCommand> CommandsFor(fleet::Machine& machine, bool direct);

 private:
  const NodeServices& services_;
  fleet::WorkerRegistry& registry_;
  uint64_t term_revision_ = 0;  // revision of the write that started the term
};

}  // namespace hallpier::controller
