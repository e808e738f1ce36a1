// Jobs as users submit them. The protocol's field names are mapped in wire/user_codec.h.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hallpier::model {

// Highest first.
enum class Priority { kProd, kUrgent, kNormal, kBestEffort };
// An array job is done once all its tasks are; a service runs until it is cancelled.
enum class JobKind { kArray, kService };
enum class JobPhase { kPending, kRunning, kDone, kCancelled };

// Tasks of one job.
inline constexpr uint32_t kMaxTasksPerJob = 100000;

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  uint32_t tasks = 1;
  // What one task takes.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> machine_types;  // empty: any
  std::string zone;                        // empty: any
  bool one_zone = false;                   // all tasks in the same zone
  bool spread = false;                     // tasks evenly over the zones
  bool spot = false;                       // may run on spot machines
  double estimated_run_s = 0;              // run time of a task, by its owner
  double checkpoint_every_s = 0;
  double checkpoint_s = 0;                // how long a checkpoint takes
  double deadline_s = 0;                  // after the submission; 0: no deadline
  std::vector<std::string> dependencies;  // DAG dependencies: done before any task starts

  bool AllowsMachineType(std::string_view machine_type) const;
};

// True for "run-000412" and the like.
bool IsJobId(std::string_view id);

// What a user is told of a job.
struct JobStatus {
  std::string id;
  JobPhase phase = JobPhase::kPending;
  uint64_t done = 0;     // tasks
  uint64_t running = 0;  // tasks
};

}  // namespace hallpier::model
