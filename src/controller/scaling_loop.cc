#include "controller/scaling_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <set>
#include <string>
#include <tuple>

#include "model/key_value.h"
#include "store/keys.h"
#include "store/machine_type_pages.h"
#include "store/records.h"
#include "wire/cloud_codec.h"
#include "wire/json.h"
#include "wire/url_query.h"

namespace hallpier::controller {
namespace {

constexpr double kCloudTimeoutS = 5;
// Fraction of the cloud's rate limit that this node uses, and the burst of the limiter in calls.
constexpr double kRateLimitShare = 0.8;
constexpr double kRateLimitBurst = 2.0;
constexpr size_t kCloudConnections = 2;
// Fraction of the cloud's rate limit for the periodic list of machines.
constexpr double kListRateShare = 0.2;
// Lists per heartbeat interval while a list takes few calls; a long list is requested less often.
constexpr double kMaxListsPerHeartbeat = 3;
// Heartbeat intervals between two requests for the machine types.
constexpr double kMachineTypeRefreshHeartbeats = 20;
// A leader that receives reports from too few workers resigns and stays out of the election for
// this fraction of the workers' lease.
constexpr double kResignLeaseRatio = 1.0;
// A page of the list has at most 500 machines, whatever the size of the fleet.
constexpr size_t kMaxCloudBodyBytes = size_t{1024} * 1024;
constexpr int kOk = 200;

// A capacity pool of the cloud, which may be exhausted.
struct CapacityPool {
  std::string machine_type;
  std::string zone;
  bool spot;
  bool operator<(const CapacityPool& other) const {
    return std::tie(machine_type, zone, spot) <
           std::tie(other.machine_type, other.zone, other.spot);
  }
};

CapacityPool CapacityPoolOf(const model::ScaleOutRequest& request) {
  return {request.machine_type, request.zone, request.spot};
}

}  // namespace

ScalingLoop::ScalingLoop(const NodeServices& services, fleet::WorkerRegistry& registry,
                         plan::PlanningContext& context, RoundTrigger& trigger)
    : services_(services),
      registry_(registry),
      context_(context),
      trigger_(trigger),
      autoscaler_(*services.settings, *services.operator_options),
      cloud_client_(kCloudConnections, kMaxCloudBodyBytes),
      rate_limiter_(services.settings->cloud_rps * kRateLimitShare, kRateLimitBurst, 0) {}

async::Task<std::optional<wire::HttpResponse>> ScalingLoop::CallCloud(async::Scope& term,
                                                                      wire::HttpRequest request) {
  const double wait_s =
      rate_limiter_.Acquire(term.loop().Now(), 1, store::RequestPriority::kUrgent, kCloudTimeoutS);
  if (wait_s < 0) co_return std::nullopt;
  if (wait_s > 0) {
    async::Sleep wait(term, wait_s);
    co_await wait;
  }
  const bool repeatable = request.method == "GET";
  // During the wait, another node may have become the leader, or a pause of the process may have
  // made the plan out of date.
  if (!repeatable && !services_.election->MayAct()) co_return std::nullopt;
  auto response = co_await cloud_client_.Call(term, services_.settings->cloud, std::move(request),
                                              kCloudTimeoutS, repeatable);
  co_return response;
}

async::Task<> ScalingLoop::RefreshMachineTypes(async::Scope& term) {
  const double now = term.loop().Now();
  const double interval_s =
      kMachineTypeRefreshHeartbeats * services_.settings->heartbeat_interval_s;
  if (machine_types_read_at_ >= 0 && now - machine_types_read_at_ < interval_s) co_return;
  wire::HttpRequest request{.method = "GET", .target = "/flavors", .body = {}};
  auto response = co_await CallCloud(term, std::move(request));
  if (!response || response->status != kOk) co_return;
  auto document = wire::ParseObject(response->body);
  auto machine_types = document ? wire::ReadMachineTypes(*document) : std::nullopt;
  if (!machine_types || machine_types->empty()) {
    spdlog::warn("cloud: unreadable list of machine types bytes={}", response->body.size());
    co_return;
  }
  machine_types_read_at_ = now;
  context_.machine_types = std::move(*machine_types);
  // Spot prices change constantly; the other nodes only need to know which jobs could run.
  auto recorded = context_.machine_types;
  for (model::MachineType& type : recorded) type.spot_price = type.price;
  if (wire::WriteMachineTypes(recorded) == wire::WriteMachineTypes(*services_.machine_types)) {
    co_return;
  }
  co_await RecordMachineTypes(term, std::move(recorded));
}

async::Task<> ScalingLoop::RecordMachineTypes(async::Scope& term,
                                              std::vector<model::MachineType> types) {
  auto pages = store::WriteMachineTypePages(types, services_.formats->max_value_bytes());
  const auto page_count = static_cast<uint32_t>(pages.size());
  // Software versions without job dependencies read only one page. Pages that remain from a longer
  // list would be read as part of this one, so they are deleted.
  uint32_t end = page_count;
  while (services_.cache->Version(store::MachineTypesKey(end)) != 0) ++end;
  bool written = true;
  // The first page is written last: it indicates that the others are complete.
  for (uint32_t page = end; page-- > 0 && written;) {
    const std::string key = store::MachineTypesKey(page);
    const std::string value = page < page_count ? pages[page] : std::string();
    std::vector<model::Precondition> preconditions = {
        store::FencingTokenPrecondition(services_.election->token()),
        {key, services_.cache->Version(key)}};
    std::vector<model::KeyWrite> writes = {{key, value, 0}};
    auto result = co_await services_.client->Commit(std::move(preconditions), std::move(writes));
    if (term.cancelled()) co_return;
    if (result.status == store::Status::kConflict) {
      (void)co_await services_.cache->Refresh(key);
      if (term.cancelled()) co_return;
    }
    written = result.ok();
    if (result.ok()) services_.cache->ApplyAheadOfWatch(key, value, result.value.revision);
    // A write that was rejected as invalid would fail again, so it waits for the next regular
    // refresh.
    if (!result.ok() && result.status != store::Status::kInvalid) machine_types_read_at_ = -1;
  }
  trigger_.Request();
}

async::Task<bool> ScalingLoop::ListMachines(async::Scope& term) {
  const double requested_at = term.loop().Now();
  std::vector<model::CloudMachine> machines;
  std::string last_listed;
  list_pages_ = 0;
  while (!term.cancelled()) {
    std::string target = "/rentals?limit=500";
    if (!last_listed.empty()) target += "&from=" + wire::EscapeQuery(last_listed);
    wire::HttpRequest request{.method = "GET", .target = std::move(target), .body = {}};
    auto response = co_await CallCloud(term, std::move(request));
    if (!response || response->status != kOk) co_return false;
    ++list_pages_;
    auto page = wire::ReadMachineList(response->body);
    if (!page) {
      spdlog::warn("cloud: unreadable list of machines bytes={}", response->body.size());
      co_return false;
    }
    for (model::CloudMachine& machine : page->machines) machines.push_back(std::move(machine));
    if (!page->more || page->machines.empty()) break;
    last_listed = machines.back().machine;
  }
  if (term.cancelled()) co_return false;
  registry_.OnCloudList(machines, requested_at, term.loop().Now());
  co_return true;
}

async::Task<> ScalingLoop::ScaleOut(async::Scope& term) {
  const auto max_requests = static_cast<size_t>(std::ceil(services_.settings->cloud_rps));
  auto requests =
      autoscaler_.ScaleOutRequests(demands_, context_.machine_types, services_.election->token(),
                                   max_requests, term.loop().Now());
  requests = fleet::Autoscaler::LimitBooting(registry_, context_.machine_types, term.loop().Now(),
                                             std::move(requests));
  // Pools without remaining capacity, from which no further machines are requested.
  std::set<CapacityPool> exhausted;
  for (const model::ScaleOutRequest& request : requests) {
    if (exhausted.contains(CapacityPoolOf(request))) continue;
    if (term.cancelled() || !services_.election->MayAct()) co_return;
    const RentResult result = co_await Rent(term, request);
    if (result == RentResult::kFailed) co_return;
    if (result == RentResult::kFulfilled) continue;
    autoscaler_.OnCapacityShortage(request, term.loop().Now());
    exhausted.insert(CapacityPoolOf(request));
  }
  // Demands that rounds have set in the meantime do not account for these machines yet, so they are
  // cleared too.
  demands_.clear();
}

async::Task<ScalingLoop::RentResult> ScalingLoop::Rent(async::Scope& term,
                                                       model::ScaleOutRequest request) {
  wire::HttpRequest http_request{
      .method = "POST", .target = "/rentals", .body = wire::WriteScaleOutRequest(request)};
  auto response = co_await CallCloud(term, std::move(http_request));
  if (!response) {
    spdlog::warn("scale out: no answer request={}", request.request);
    co_return RentResult::kFailed;
  }
  if (response->status != kOk) {
    const bool no_capacity = response->body.find("no capacity") != std::string::npos;
    co_return no_capacity ? RentResult::kPartial : RentResult::kFailed;
  }
  auto names = wire::ReadScaleOutResponse(response->body);
  if (!names) co_return RentResult::kFulfilled;
  spdlog::info("scale out: rented machines={} requested={} type={} zone={} spot={}", names->size(),
               request.count, request.machine_type, request.zone, request.spot);
  registry_.OnScaledOut(*names, request, term.loop().Now());
  const bool all = static_cast<int>(names->size()) == request.count;
  co_return all ? RentResult::kFulfilled : RentResult::kPartial;
}

async::Task<> ScalingLoop::ScaleIn(async::Scope& term) {
  std::vector<std::string> names;
  for (const auto& [name, machine] : registry_.machines()) {
    if (!machine.cloud.terminating || names.size() >= kMaxReturnsPerCall) continue;
    names.push_back(name);
  }
  // A former leader must not return machines that its successor may use.
  if (names.empty() || !services_.election->MayAct()) co_return;
  wire::HttpRequest request{
      .method = "POST", .target = "/rentals/return", .body = wire::WriteScaleInRequest(names)};
  auto response = co_await CallCloud(term, std::move(request));
  if (!response || response->status != kOk) co_return;
  for (const std::string& name : names) {
    spdlog::info("scale in: returned machine={}", name);
    registry_.OnTerminated(name);
  }
  trigger_.Request();
}

bool ScalingLoop::RecentlyResumed(double now, double resumed_at) const {
  // A paused process has received no reports, although the workers may have sent them. During an
  // outage, when no node can become the leader, resigning would end every running task.
  return now - resumed_at <
         services_.operator_options->silent_ratio * services_.settings->heartbeat_interval_s;
}

async::Task<> ScalingLoop::Run(async::Scope& term) {
  const double seconds_per_call = 1 / (kListRateShare * services_.settings->cloud_rps);
  double next_list_at = 0;
  bool listed = false;
  // The demands and prices of an earlier term are out of date.
  demands_.clear();
  machine_types_read_at_ = -1;
  while (!term.cancelled()) {
    co_await RefreshMachineTypes(term);
    if (term.loop().Now() >= next_list_at) {
      listed = co_await ListMachines(term);
      // The more calls a list takes, the less often it is requested.
      next_list_at = term.loop().Now() +
                     std::max(services_.settings->heartbeat_interval_s / kMaxListsPerHeartbeat,
                              seconds_per_call * list_pages_);
    }
    if (term.cancelled()) break;
    const double now = term.loop().Now();
    const bool enough_workers_report = autoscaler_.MarkMachinesForTermination(
        registry_, *services_.job_table, context_, !demands_.empty(), now);
    if (!enough_workers_report && !RecentlyResumed(now, term.loop().resumed_at())) {
      services_.election->Resign(kResignLeaseRatio * services_.settings->lease_s,
                                 "most workers are silent");
      break;
    }
    co_await ScaleIn(term);
    if (listed) co_await ScaleOut(term);
    async::Sleep wait(term, seconds_per_call);
    co_await wait;
  }
}

}  // namespace hallpier::controller
