// Requests to stop placed attempts. An attempt is stopped because its task is preempted, because
// the cloud reclaims its machine, or because its requeue is being written.
//
// Until the attempt is proven gone it stays recorded as placed, and its machine is told to stop it
// but never to start it. Owned by WorkerRegistry; used on the event loop's thread. Does no I/O.
#pragma once

#include <cstdint>
#include <map>

#include "jobs/job_table.h"
#include "model/task.h"

namespace hallpier::fleet {

class StopRequests {
 public:
  // Requests the stop of an attempt. `grace_s`: grace period in seconds for writing a checkpoint. A
  // further request for the same attempt can only shorten the grace period. A request for a
  // different attempt replaces the earlier request for the task.
  void Add(const model::TaskId& task, uint64_t attempt, double grace_s);
  // True if a stop of this attempt is requested.
  bool Contains(const model::TaskId& task, uint64_t attempt) const;
  // Returns the grace period in seconds. Requires a request for the task.
  double GraceSeconds(const model::TaskId& task) const { return requests_.at(task).grace_s; }
  // Drops the requests for attempts that are no longer recorded as placed: these are fulfilled.
  void DropFulfilled(const jobs::JobTable& job_table);

 private:
  struct Request {
    uint64_t attempt = 0;
    double grace_s = 0;
  };
  std::map<model::TaskId, Request> requests_;
};

}  // namespace hallpier::fleet
