#include "jobs/write_priority.h"

namespace hallpier::jobs {

WritePriority TransitionPriority(const Job& job, const TaskTransition& transition,
                                 double max_wait_s) {
  switch (transition.kind) {
    case TaskTransition::Kind::kPlace:
      return job.priority <= model::Priority::kUrgent ? WritePriority::kUrgentPlacement
                                                      : WritePriority::kPlacement;
    case TaskTransition::Kind::kRequeue:
      return job.cancelled ? WritePriority::kJobEnd : WritePriority::kPlacement;
    case TaskTransition::Kind::kDone:
      return transition.known_for_s >= max_wait_s ? WritePriority::kPlacement
                                                  : WritePriority::kTaskEnd;
  }
  return WritePriority::kTaskEnd;
}

WritePriority FinalRecordPriority(const JobTable& job_table, const std::string& id,
                                  const Job& job) {
  if (!job.cancelled) return WritePriority::kJobEnd;
  // The final record of a cancelled job that is still blocked and so never ran, such as one
  // cancelled because of a dependency, is not urgent: every node already reports the job as
  // cancelled. A cascading cancellation can produce thousands of such records, and they must not
  // take the request budget from placements and other ends. The same applies to a job with
  // dependents, since its final record can only follow theirs.
  const bool has_dependents = !job_table.dependency_graph().Dependents(id).empty();
  return has_dependents || job.blocked ? WritePriority::kCleanup : WritePriority::kJobEnd;
}

}  // namespace hallpier::jobs
