// Handles user requests: submissions, status polls and cancellations. Every node answers them, from
// the state service.
//
// No node may contradict an earlier response of any node: accepted, done and cancelled are reported
// only after they have been recorded, and only final states are reported from memory, without a
// read.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

#include "config/settings.h"
#include "jobs/job_table.h"
#include "model/job.h"
#include "model/machine_type.h"
#include "net/http_server.h"
#include "store/client.h"
#include "store/linearizable_read.h"
#include "store/record_formats.h"
#include "store/watch_cache.h"
#include "wire/user_codec.h"

namespace hallpier::api {

class UserApi {
 public:
  struct Deps {
    const config::Settings* settings;
    store::Client* client;
    store::WatchCache* cache;
    store::LinearizableRead* linearizable_read;
    store::RecordFormats* formats;
    jobs::JobTable* job_table;
    const std::vector<model::MachineType>* machine_types;  // empty until they are known
    std::function<double()> time_of_day;
    // Waits until the watch cache contains the outcomes of all jobs that a job depends on. Returns
    // false if that takes longer than `limit_s` seconds.
    std::function<async::Task<bool>(std::string id, double limit_s)> wait_for_dependencies;
    // Waits until the cancellation of a job is effective: from then on no controller starts a task
    // of the job, so that the cancellation may be reported to users.
    std::function<async::Task<>(std::string id)> await_cancellation_effective;
    // Notifies the other nodes of a cancellation that was just recorded with this version.
    std::function<void(const std::string& id, uint64_t version)> broadcast_cancellation;
  };
  explicit UserApi(Deps deps) : deps_(std::move(deps)) {}

  async::Task<wire::HttpResponse> Submit(std::string body);
  async::Task<wire::HttpResponse> Poll(std::string id);
  async::Task<wire::HttpResponse> Cancel(std::string id);
  // Number of cancellations that are being recorded.
  int pending_cancellations() const { return pending_cancellations_; }

 private:
  struct JobLookup {
    // kUnknown: the state could not be read.
    enum class Kind { kActive, kFinal, kNotFound, kUnknown } kind = Kind::kUnknown;
    store::JobRecord job;
    uint64_t version = 0;           // of the active job's record
    bool from_watch_cache = false;  // read after the watch cache had caught up
    store::FinalRecord final_record;
  };
  // Reads the job's records from the state service.
  async::Task<JobLookup> Lookup(std::string id);
  // Returns the same as Lookup(), but takes active jobs from the watch cache, after a linearizable
  // read that concurrent lookups share. Falls back to Lookup() if the watch cache can't catch up.
  async::Task<JobLookup> LookupLinearizable(std::string id);
  // Reads the job's final record from the state service.
  async::Task<JobLookup> LookupFinal(std::string id);
  // The lookup for responses to users. Also reports the job as cancelled if a job that it depends
  // on is cancelled.
  async::Task<JobLookup> LookupWithDependencies(std::string id);
  // Finds out whether a job that is not cancelled itself is cancelled through its dependencies.
  // Reads their records from the state service; used when the watch cache can't catch up.
  enum class DependencyState { kNotCancelled, kCancelled, kUnknown };
  async::Task<DependencyState> LookupDependencyState(std::vector<std::string> dependencies);
  // Checks the dependencies of a submission. Returns the error response if one of them is invalid
  // or can't be read, std::nullopt if all of them were accepted. Sets `cancelled` if one of them is
  // already cancelled.
  async::Task<std::optional<wire::HttpResponse>> CheckDependencies(
      std::vector<std::string> dependencies, bool* cancelled);
  // Records the job. Returns the response; std::nullopt if the job exists already.
  async::Task<std::optional<wire::HttpResponse>> Accept(model::JobSpec spec);
  // Returns the response with the state of an accepted job. Reports a cancellation only once it is
  // effective.
  async::Task<wire::HttpResponse> RespondWithStatus(std::string id, JobLookup found);
  wire::HttpResponse StatusResponse(const std::string& id, const JobLookup& found) const;
  // Returns the job's final state if it is cached; otherwise kind is kUnknown.
  JobLookup FindCachedFinal(const std::string& id) const;
  // Caches a final record; evicts the oldest one if the cache is full.
  void CacheFinal(const std::string& id, const store::FinalRecord& record);
  // Returns why the job can never run; std::nullopt if it can.
  std::optional<wire::FieldError> FindInfeasibility(const model::JobSpec& spec) const;

  Deps deps_;
  int pending_cancellations_ = 0;
  std::unordered_map<std::string, store::FinalRecord> final_records_;
  std::deque<std::string> final_record_order_;  // oldest first
};

}  // namespace hallpier::api
