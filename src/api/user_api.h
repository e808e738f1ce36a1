// What users ask: submissions, polls, withdrawals. Every node answers, from the state service.
//
// Nothing that a node has told may be taken back by another: accepted, done and cancelled are told
// only after they are recorded, and only a final state is ever answered from memory.
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
    const std::vector<model::MachineType>* machine_types;  // empty: not known yet
    std::function<double()> time_of_day;
    // True once the warm copy knows how all ended that a job needs; false if that takes too long.
    std::function<async::Task<bool>(std::string id, double limit_s)> wait_for_dependencies;
    // Tells the other nodes of a cancellation that was just recorded under this version.
    std::function<void(const std::string& id, uint64_t version)> broadcast_cancellation;
  };
  explicit UserApi(Deps deps) : deps_(std::move(deps)) {}

  async::Task<wire::HttpResponse> Submit(std::string body);
  async::Task<wire::HttpResponse> Poll(std::string id);
  async::Task<wire::HttpResponse> Cancel(std::string id);
  // Cancellations that are being recorded just now.
  int pending_cancellations() const { return cancelling_; }

 private:
  struct Found {
    enum class Kind { kActive, kFinal, kNever, kUnknown } kind = Kind::kUnknown;
    store::JobRecord job;
    uint64_t version = 0;
    bool warm = false;  // from the warm copy, which was fresh when it was asked for
    store::FinalRecord final_record;
  };
  // Reads the job's state afresh.
  async::Task<Found> Lookup(std::string id);
  // The same by way of the warm copy, which one read makes fresh for all who ask at a time; by a
  // read of its own where that fails.
  async::Task<Found> LookupShared(std::string id);
  async::Task<Found> LookupFinal(std::string id);
  // The same for what the user is told: cancelled as well if a job that it needs is.
  async::Task<Found> LookupWhole(std::string id);
  // Whether a job that is not cancelled itself is cancelled by way of those it needs, from reads of
  // their records: for when the warm copy can't be made fresh.
  enum class Fate { kGoesOn, kCancelled, kUnknown };
  async::Task<Fate> FateOf(std::vector<std::string> dependencies);
  // What a submission that awaits others is to be told at once; nothing if all of them were
  // accepted. `cancelled`: one of them is cancelled already.
  async::Task<std::optional<wire::HttpResponse>> CheckAwaits(std::vector<std::string> dependencies,
                                                             bool* cancelled);
  async::Task<std::optional<wire::HttpResponse>> Accept(model::JobSpec spec);
  wire::HttpResponse Status(const std::string& id, const Found& found) const;
  // A final state that is known here; of kind kUnknown if there is none.
  Found FromMemory(const std::string& id) const;
  void Remember(const std::string& id, const store::FinalRecord& r);
  // Why the job can never run; nothing if it can.
  std::optional<wire::FieldError> NeverRuns(const model::JobSpec& spec) const;

  Deps deps_;
  int cancelling_ = 0;
  std::unordered_map<std::string, store::FinalRecord> final_records_;
  std::deque<std::string> finals_order_;
};

}  // namespace hallpier::api
