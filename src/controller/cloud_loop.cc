#include "controller/cloud_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <set>
#include <tuple>

#include "model/cloud.h"
#include "model/key_value.h"
#include "store/machine_type_pages.h"
#include "wire/cloud_codec.h"
#include "wire/json.h"

namespace hallpier::controller {
namespace {

constexpr double kCloudTimeoutS = 5;
// Part of the cloud's request limit that the regular listing may use.
constexpr double kListShare = 0.2;
// Machine types are asked for anew after this many report periods.
constexpr double kMachineTypeReports = 20;
// Who hears too few workers leaves the lead to another for this part of their lease.
constexpr double kResignRatio = 1.0;
// A page of the list of machines has 500 of them at the most, however large the fleet.
constexpr size_t kMaxCloudBody = size_t{1024} * 1024;

}  // namespace

CloudLoop::CloudLoop(LeaderDependencies deps, fleet::WorkerRegistry& registry,
                     plan::Context& context, std::function<void()> changed)
    : deps_(std::move(deps)),
      registry_(registry),
      context_(context),
      changed_(std::move(changed)),
      autoscaler_(*deps_.settings, *deps_.operators),
      cloud_(2, kMaxCloudBody),
      rate_limiter_(deps_.settings->cloud_rps * 0.8, 2.0, 0) {}

async::Task<std::optional<wire::HttpResponse>> CloudLoop::Call(async::Scope& term,
                                                               wire::HttpRequest request) {
  const double wait =
      rate_limiter_.Acquire(term.loop().Now(), 1, store::RequestPriority::kUrgent, kCloudTimeoutS);
  if (wait < 0) co_return std::nullopt;
  if (wait > 0) {
    async::Sleep pause(term, wait);
    co_await pause;
  }
  const bool repeatable = request.method == "GET";
  // The lead may have gone to another node meanwhile, and a pause may have made the plan an old
  // one.
  if (!repeatable && !deps_.election->Entitled()) co_return std::nullopt;
  auto r = co_await cloud_.Call(term, deps_.settings->cloud, std::move(request), kCloudTimeoutS,
                                repeatable);
  co_return r;
}

async::Task<> CloudLoop::LearnMachineTypes(async::Scope& term) {
  const double now = term.loop().Now();
  if (machine_types_at_ >= 0 &&
      now - machine_types_at_ < kMachineTypeReports * deps_.settings->heartbeat_interval_s)
    co_return;
  wire::HttpRequest q{.method = "GET", .target = "/flavors", .body = {}};
  auto r = co_await Call(term, std::move(q));
  if (!r || r->status != 200) co_return;
  auto doc = wire::ParseObject(r->body);
  auto machine_types = doc ? wire::ReadMachineTypes(*doc) : std::nullopt;
  if (!machine_types || machine_types->empty()) {
    spdlog::warn("cloud: the list of machine types can't be read");
    co_return;
  }
  machine_types_at_ = now;
  context_.machine_types = std::move(*machine_types);
  // Prices move all the time; the others need to know only what could run.
  auto plain = context_.machine_types;
  for (auto& f : plain) f.spot_price = f.price;
  if (wire::WriteMachineTypes(plain) == wire::WriteMachineTypes(*deps_.machine_types)) co_return;
  auto pages = store::WriteMachineTypePages(plain, deps_.formats->max_value_bytes());
  const auto page_count = static_cast<uint32_t>(pages.size());
  // Versions without pipelines know one value only, and what is left of a longer list is in the
  // way.
  uint32_t end = page_count;
  while (deps_.cache->Version(store::MachineTypesKey(end)) != 0) ++end;
  bool written = true;
  // The first page last: it says that the others are there.
  for (uint32_t n = end; n-- > 0 && written;) {
    const std::string key = store::MachineTypesKey(n);
    const std::string value = n < page_count ? pages[n] : std::string();
    std::vector<model::Precondition> preconditions = {
        store::TokenPrecondition(deps_.election->token())};
    std::vector<model::KeyWrite> writes = {{key, value, 0}};
    auto w = co_await deps_.client->Commit(std::move(preconditions), std::move(writes));
    if (term.cancelled()) co_return;
    written = w.ok();
    if (w.ok()) deps_.cache->Apply(key, value, w.value.revision);
    // Refused as it is, it can wait for its usual turn.
    if (!w.ok() && w.status != store::Status::kInvalid) machine_types_at_ = -1;
  }
  changed_();
}

async::Task<bool> CloudLoop::List(async::Scope& term) {
  const double asked = term.loop().Now();
  std::vector<model::CloudMachine> all;
  std::string after;
  list_pages_ = 0;
  while (!term.cancelled()) {
    std::string target = "/rentals?limit=500";
    if (!after.empty()) target += "&from=" + wire::EscapeQuery(after);
    wire::HttpRequest q{.method = "GET", .target = std::move(target), .body = {}};
    auto r = co_await Call(term, std::move(q));
    if (!r || r->status != 200) co_return false;
    ++list_pages_;
    auto page = wire::ReadMachineList(r->body);
    if (!page) {
      spdlog::warn("cloud: the list of machines can't be read");
      co_return false;
    }
    for (auto& m : page->machines) all.push_back(std::move(m));
    if (!page->more || page->machines.empty()) break;
    after = all.back().machine;
  }
  if (term.cancelled()) co_return false;
  registry_.OnListed(all, asked, term.loop().Now());
  co_return true;
}

async::Task<> CloudLoop::Rent(async::Scope& term) {
  const auto most = static_cast<size_t>(std::ceil(deps_.settings->cloud_rps));
  auto requests = autoscaler_.ScaleOutRequests(demands_, context_.machine_types,
                                               deps_.election->token(), most, term.loop().Now());
  fleet::Autoscaler::LimitOutstanding(registry_, context_.machine_types, term.loop().Now(),
                                      &requests);
  // An offer that has run dry in between is not asked again.
  std::set<std::tuple<std::string, std::string, bool>> dry;
  for (const model::ScaleOutRequest& r : requests) {
    if (dry.contains({r.machine_type, r.zone, r.spot})) continue;
    if (term.cancelled() || !deps_.election->Entitled()) co_return;
    wire::HttpRequest q{
        .method = "POST", .target = "/rentals", .body = wire::WriteScaleOutRequest(r)};
    auto answer = co_await Call(term, std::move(q));
    const double now = term.loop().Now();
    if (!answer) {
      spdlog::warn("cloud: no answer to rental {}", r.request);
      co_return;
    }
    if (answer->status == 200) {
      auto names = wire::ReadScaleOutResponse(answer->body);
      if (!names) continue;
      spdlog::info("rented {} of {} {} in {} ({})", names->size(), r.count, r.machine_type, r.zone,
                   r.spot ? "spot" : "ordinary");
      registry_.OnScaledOut(*names, r, now);
      if (static_cast<int>(names->size()) == r.count) continue;
    } else if (answer->body.find("no capacity") == std::string::npos) {
      co_return;
    }
    autoscaler_.OnShort(r, now);
    dry.insert({r.machine_type, r.zone, r.spot});
  }
  // What rounds wanted meanwhile did not know of these machines yet.
  demands_.clear();
}

async::Task<> CloudLoop::Return(async::Scope& term) {
  std::vector<std::string> names;
  for (const auto& [name, m] : registry_.all()) {
    if (!m.returning || names.size() >= kReturnsPerCall) continue;
    names.push_back(name);
  }
  // A former leader's judgement must not take machines from its successor.
  if (names.empty() || !deps_.election->Entitled()) co_return;
  wire::HttpRequest q{
      .method = "POST", .target = "/rentals/return", .body = wire::WriteScaleInRequest(names)};
  auto r = co_await Call(term, std::move(q));
  if (!r || r->status != 200) co_return;
  for (const auto& name : names) {
    spdlog::info("machine {} returned", name);
    registry_.OnReturned(name);
  }
  changed_();
}

bool CloudLoop::JustResumed(double now, double resumed_at) const {
  // A process that was paused has heard nobody, whoever reported: in an outage, when nobody can
  // take the lead, giving it up would end every running task.
  return now - resumed_at < deps_.operators->silent_ratio * deps_.settings->heartbeat_interval_s;
}

async::Task<> CloudLoop::Run(async::Scope& term) {
  const double per_call = 1 / (kListShare * deps_.settings->cloud_rps);
  double list_at = 0;
  bool listed = false;
  // What a former term wanted, and knew of prices, is no longer so.
  demands_.clear();
  machine_types_at_ = -1;
  while (!term.cancelled()) {
    co_await LearnMachineTypes(term);
    if (term.loop().Now() >= list_at) {
      listed = co_await List(term);
      // A long list takes many calls: it comes the less often.
      list_at = term.loop().Now() +
                std::max(deps_.settings->heartbeat_interval_s / 3, per_call * list_pages_);
    }
    if (term.cancelled()) break;
    const double now = term.loop().Now();
    const bool heard =
        autoscaler_.Review(registry_, *deps_.job_table, context_, !demands_.empty(), now);
    if (!heard && !JustResumed(now, term.loop().resumed_at())) {
      deps_.election->Resign(kResignRatio * deps_.settings->lease_s, "most workers are silent");
      break;
    }
    co_await Return(term);
    if (listed) co_await Rent(term);
    async::Sleep pause(term, per_call);
    co_await pause;
  }
}

}  // namespace hallpier::controller
