// The jobs that wait, in the order in which a round serves them, with how many of their tasks may
// be placed under quotas, retry budget and starvation bound. Built once a round and owned by it;
// refers to the job table.
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

// A job of which tasks wait.
struct QueuedJob {
  const jobs::Job* job = nullptr;
  bool within_guarantee = false;
  // Priority tier and band in one: jobs of equal rank are mapped together, the smallest first.
  int rank = 0;
  size_t tasks = 0;    // that may be placed
  bool retry = false;  // the job failed wherever it ran
};

// The priority tier of a rank. What is served first because it would starve counts as the first
// tier.
int TierOfRank(int rank);

struct JobQueue {
  std::vector<QueuedJob> jobs;  // by rank, then by age
  // Of all jobs that are neither cancelled nor blocked, whether tasks of them wait or not.
  std::unordered_map<const jobs::Job*, int> tiers;
  std::unordered_set<const jobs::Job*> guaranteed;  // within their teams' guarantees
  size_t waiting_tasks = 0;                         // of all queued jobs
  // By team, the first job of which the team's quota keeps tasks out.
  std::map<std::string, std::string> first_job_over_quota;
};

// All unfinished jobs, oldest first.
std::vector<const jobs::Job*> JobsByAge(const jobs::JobTable& job_table);

// `jobs`: all unfinished jobs, oldest first.
JobQueue BuildJobQueue(const RoundInput& input, const RoundMachines& machines,
                       const JobOrder& order, const std::vector<const jobs::Job*>& jobs);

}  // namespace hallpier::plan
