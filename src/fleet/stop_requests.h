// Requests to stop placed attempts: of tasks that are preempted, that have to leave a machine which
// the cloud takes back, or whose requeueing is being written.
//
// An attempt that is to be stopped stays recorded as placed until it is proven gone; meanwhile its
// machine is commanded to stop it, never to start it. Owned by WorkerRegistry; lives on the event
// loop's thread. Does no I/O.
#pragma once

#include <cstdint>
#include <map>

#include "jobs/job_table.h"
#include "model/task.h"

namespace hallpier::fleet {

class StopRequests {
 public:
  // Requests that an attempt be stopped. `grace_s`: seconds that it gets to write a checkpoint; a
  // second request for the same attempt can only shorten them. A request for another attempt of the
  // task replaces the earlier one.
  void Add(const model::TaskId& task, uint64_t attempt, double grace_s);
  // True if this attempt is to be stopped.
  bool Contains(const model::TaskId& task, uint64_t attempt) const;
  // Seconds to write a checkpoint. The task must have a request.
  double GraceSeconds(const model::TaskId& task) const { return requests_.at(task).grace_s; }
  // Drops requests for attempts that are not recorded as placed any more: they are fulfilled.
  void DropFulfilled(const jobs::JobTable& job_table);

 private:
  struct Request {
    uint64_t attempt = 0;
    double grace_s = 0;
  };
  std::map<model::TaskId, Request> requests_;
};

}  // namespace hallpier::fleet
