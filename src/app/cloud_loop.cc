#include "app/cloud_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <set>
#include <tuple>

#include "store/flavor_pages.h"

namespace hallpier::app {
namespace {

constexpr double kCloudTimeoutS = 5;
// Part of the cloud's request limit that the regular listing may use.
constexpr double kListShare = 0.2;
// Machine types are asked for anew after this many report periods.
constexpr double kFlavorReports = 20;
// Who hears too few workers leaves the lead to another for this part of their lease.
constexpr double kResignRatio = 1.0;
// A page of the list of machines has 500 of them at the most, however large the fleet.
constexpr size_t kMaxCloudBody = size_t{1024} * 1024;

}  // namespace

CloudLoop::CloudLoop(LeaderDeps deps, fleet::Roster& roster, plan::Context& context,
                     std::function<void()> changed)
    : deps_(std::move(deps)),
      roster_(roster),
      context_(context),
      changed_(std::move(changed)),
      renter_(*deps_.settings, *deps_.operators),
      cloud_(2, kMaxCloudBody),
      budget_(deps_.settings->cloud_rps * 0.8, 2.0, 0) {}

rt::Task<std::optional<wire::HttpResponse>> CloudLoop::Call(rt::Scope& term,
                                                            wire::HttpRequest request) {
  const double wait = budget_.Take(term.loop().Now(), 1, store::Urgent::kYes, kCloudTimeoutS);
  if (wait < 0) co_return std::nullopt;
  if (wait > 0) {
    rt::Sleep pause(term, wait);
    co_await pause;
  }
  const bool repeatable = request.method == "GET";
  // The lead may have gone to another node meanwhile, and a pause may have made the plan an old
  // one.
  if (!repeatable && !deps_.leadership->Entitled()) co_return std::nullopt;
  auto r = co_await cloud_.Call(term, deps_.settings->cloud, std::move(request), kCloudTimeoutS,
                                repeatable);
  co_return r;
}

rt::Task<> CloudLoop::LearnFlavors(rt::Scope& term) {
  const double now = term.loop().Now();
  if (flavors_at_ >= 0 && now - flavors_at_ < kFlavorReports * deps_.settings->report_s) co_return;
  wire::HttpRequest q{.method = "GET", .target = "/flavors", .body = {}};
  auto r = co_await Call(term, std::move(q));
  if (!r || r->status != 200) co_return;
  auto doc = wire::ParseObject(r->body);
  auto flavors = doc ? wire::ReadFlavors(*doc) : std::nullopt;
  if (!flavors || flavors->empty()) {
    spdlog::warn("cloud: the list of machine types can't be read");
    co_return;
  }
  flavors_at_ = now;
  context_.flavors = std::move(*flavors);
  // Prices move all the time; the others need to know only what could run.
  auto plain = context_.flavors;
  for (auto& f : plain) f.spot_price = f.price;
  if (wire::WriteFlavors(plain) == wire::WriteFlavors(*deps_.flavors)) co_return;
  auto pages = store::WriteFlavorPages(plain, deps_.formats->value_bytes());
  const auto page_count = static_cast<uint32_t>(pages.size());
  // Versions without pipelines know one value only, and what is left of a longer list is in the
  // way.
  uint32_t end = page_count;
  while (deps_.replica->Version(store::FlavorsKey(end)) != 0) ++end;
  bool written = true;
  // The first page last: it says that the others are there.
  for (uint32_t n = end; n-- > 0 && written;) {
    const std::string key = store::FlavorsKey(n);
    const std::string value = n < page_count ? pages[n] : std::string();
    std::vector<wire::Guard> guards = {{store::BlockKey(0), deps_.leadership->token()}};
    std::vector<wire::Write> writes = {{key, value, 0}};
    auto w = co_await deps_.client->Txn(std::move(guards), std::move(writes));
    if (term.cancelled()) co_return;
    written = w.ok();
    if (w.ok()) deps_.replica->Apply(key, value, w.value.revision);
    // Refused as it is, it can wait for its usual turn.
    if (!w.ok() && w.status != store::Status::kInvalid) flavors_at_ = -1;
  }
  changed_();
}

rt::Task<bool> CloudLoop::List(rt::Scope& term) {
  const double asked = term.loop().Now();
  std::vector<wire::Listed> all;
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
  roster_.OnListed(all, asked, term.loop().Now());
  co_return true;
}

rt::Task<> CloudLoop::Rent(rt::Scope& term) {
  const auto most = static_cast<size_t>(std::ceil(deps_.settings->cloud_rps));
  auto rentals =
      renter_.Rentals(wants_, context_.flavors, deps_.leadership->token(), most, term.loop().Now());
  fleet::Renter::LimitOutstanding(roster_, context_.flavors, term.loop().Now(), &rentals);
  // An offer that has run dry in between is not asked again.
  std::set<std::tuple<std::string, std::string, bool>> dry;
  for (const wire::Rental& r : rentals) {
    if (dry.contains({r.flavor, r.zone, r.spot})) continue;
    if (term.cancelled() || !deps_.leadership->Entitled()) co_return;
    wire::HttpRequest q{.method = "POST", .target = "/rentals", .body = wire::WriteRental(r)};
    auto answer = co_await Call(term, std::move(q));
    const double now = term.loop().Now();
    if (!answer) {
      spdlog::warn("cloud: no answer to rental {}", r.request);
      co_return;
    }
    if (answer->status == 200) {
      auto names = wire::ReadRented(answer->body);
      if (!names) continue;
      spdlog::info("rented {} of {} {} in {} ({})", names->size(), r.count, r.flavor, r.zone,
                   r.spot ? "spot" : "ordinary");
      roster_.OnRented(*names, r, now);
      if (static_cast<int>(names->size()) == r.count) continue;
    } else if (answer->body.find("no capacity") == std::string::npos) {
      co_return;
    }
    renter_.OnShort(r, now);
    dry.insert({r.flavor, r.zone, r.spot});
  }
  // What rounds wanted meanwhile did not know of these machines yet.
  wants_.clear();
}

rt::Task<> CloudLoop::Return(rt::Scope& term) {
  std::vector<std::string> names;
  for (const auto& [name, m] : roster_.all()) {
    if (!m.returning || names.size() >= kReturnsPerCall) continue;
    names.push_back(name);
  }
  // A former leader's judgement must not take machines from its successor.
  if (names.empty() || !deps_.leadership->Entitled()) co_return;
  wire::HttpRequest q{
      .method = "POST", .target = "/rentals/return", .body = wire::WriteReturn(names)};
  auto r = co_await Call(term, std::move(q));
  if (!r || r->status != 200) co_return;
  for (const auto& name : names) {
    spdlog::info("machine {} returned", name);
    roster_.OnReturned(name);
  }
  changed_();
}

bool CloudLoop::JustResumed(double now, double resumed_at) const {
  // A process that was paused has heard nobody, whoever reported: in an outage, when nobody can
  // take the lead, giving it up would end every running task.
  return now - resumed_at < deps_.operators->silent_ratio * deps_.settings->report_s;
}

rt::Task<> CloudLoop::Run(rt::Scope& term) {
  const double per_call = 1 / (kListShare * deps_.settings->cloud_rps);
  double list_at = 0;
  bool listed = false;
  // What a former term wanted, and knew of prices, is no longer so.
  wants_.clear();
  flavors_at_ = -1;
  while (!term.cancelled()) {
    co_await LearnFlavors(term);
    if (term.loop().Now() >= list_at) {
      listed = co_await List(term);
      // A long list takes many calls: it comes the less often.
      list_at = term.loop().Now() + std::max(deps_.settings->report_s / 3, per_call * list_pages_);
    }
    if (term.cancelled()) break;
    const double now = term.loop().Now();
    const bool heard = renter_.Review(roster_, *deps_.ledger, context_, !wants_.empty(), now);
    if (!heard && !JustResumed(now, term.loop().resumed_at())) {
      deps_.leadership->Resign(kResignRatio * deps_.settings->lease_s, "most workers are silent");
      break;
    }
    co_await Return(term);
    if (listed) co_await Rent(term);
    rt::Sleep pause(term, per_call);
    co_await pause;
  }
}

}  // namespace hallpier::app
