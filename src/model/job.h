// Jobs as users submit them. wire/user_codec.h maps the protocol's field names to these members.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hallpier::model {

// Ordered from the highest priority to the lowest.
enum class Priority { kProd, kUrgent, kNormal, kBestEffort };
// An array job is done once all of its tasks are done; a service runs until it is cancelled.
enum class JobKind { kArray, kService };
enum class JobPhase { kPending, kRunning, kDone, kCancelled };

// Largest number of tasks in one job.
inline constexpr uint32_t kMaxTasksPerJob = 100000;

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  uint32_t tasks = 1;
  // Resources that one task needs.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> machine_types;  // empty: any
  std::string zone;                        // empty: any
  bool one_zone = false;                   // all tasks run in the same zone
  bool spread = false;                     // tasks are spread evenly over the zones
  bool spot = false;                       // may run on spot machines
  double estimated_run_s = 0;              // run time of a task, as its owner estimates it
  double checkpoint_every_s = 0;
  double checkpoint_s = 0;  // time that writing a checkpoint takes
  double deadline_s = 0;    // relative to the submission; 0: no deadline
  // Ids of the jobs that must be done before any task of this job starts (DAG).
  std::vector<std::string> dependencies;

  bool AllowsMachineType(std::string_view machine_type) const;
};

// Returns whether `id` has the form of a job id: "run-" and digits, such as "run-000412".
bool IsJobId(std::string_view id);

// The status of a job as reported to its user.
struct JobStatus {
  std::string id;
  JobPhase phase = JobPhase::kPending;
  uint64_t done = 0;     // number of tasks that are done
  uint64_t running = 0;  // number of tasks that run
};

}  // namespace hallpier::model
