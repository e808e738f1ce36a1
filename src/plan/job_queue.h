// The jobs with waiting tasks in the order in which a round serves them, each with the number of
// tasks that the quotas, the retry budget and the starvation share allow to be placed. Built once
// per round and owned by it; refers to the job table.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "jobs/job_table.h"
#include "plan/job_order.h"
#include "plan/round_input.h"
#include "plan/round_machines.h"

namespace hallpier::plan {

// A job with waiting tasks.
struct QueuedJob {
  const jobs::Job* job = nullptr;
  bool within_guarantee = false;
  // Combines the priority tier and the band. Jobs of equal rank are mapped together, in ascending
  // order of rank.
  int rank = 0;
  size_t tasks = 0;       // number of tasks that may be placed
  bool is_retry = false;  // the job has failed wherever it ran
};

// Returns the priority tier of a rank. Jobs that are served first because they would starve count
// as the first tier.
int TierOfRank(int rank);

struct JobQueue {
  std::vector<QueuedJob> jobs;  // sorted by rank, then by age, oldest first
  // The tiers of all jobs that are neither cancelled nor blocked, with or without waiting tasks.
  std::unordered_map<const jobs::Job*, int> tier_by_job;
  std::unordered_set<const jobs::Job*> jobs_within_guarantee;
  size_t waiting_tasks = 0;  // sum of the tasks of `jobs`
  // By team, the id of the first job with tasks that exceed the team's quota.
  std::map<std::string, std::string> first_job_over_quota;
};

// Returns all unfinished jobs, oldest first.
std::vector<const jobs::Job*> UnfinishedJobsByAge(const jobs::JobTable& job_table);

// `jobs` must be all unfinished jobs, oldest first.
JobQueue BuildJobQueue(const RoundInput& input, const RoundMachines& machines,
                       const JobOrder& order, const std::vector<const jobs::Job*>& jobs);

}  // namespace hallpier::plan
