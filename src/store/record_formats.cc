#include "store/record_formats.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "model/key_value.h"
#include "store/keys.h"

namespace hallpier::store {
namespace {

constexpr double kBytesPerKb = 1024;
// Bounds of the random delay between two write attempts, in heartbeat intervals. The delay is
// random so that nodes that see the last node's format at the same moment do not all retry at once.
constexpr double kMinRetryIntervals = 0.1;
constexpr double kMaxRetryIntervals = 0.3;

}  // namespace

TaskGroupLayout DefaultLayout(const config::Settings& settings) {
  const uint32_t tasks_per_base_group = TasksPerTextGroup(settings.value_kb);
  const uint32_t tasks_that_fit = TasksPerPackedGroup(settings.SmallestStateLimits().value_kb);
  return {tasks_per_base_group, (tasks_per_base_group + tasks_that_fit - 1) / tasks_that_fit};
}

RecordFormats::RecordFormats(async::Scope& scope, const config::Settings& settings, Client& client,
                             WatchCache& cache, uint64_t local_format)
    : scope_(scope),
      settings_(settings),
      client_(client),
      cache_(cache),
      local_format_(local_format) {}

size_t RecordFormats::max_value_bytes() const {
  const double value_kb =
      packed_groups_enabled() ? settings_.SmallestStateLimits().value_kb : settings_.value_kb;
  return static_cast<size_t>(value_kb * kBytesPerKb);
}

int RecordFormats::max_transaction_writes() const {
  return packed_groups_enabled() ? settings_.SmallestStateLimits().txn_ops : settings_.txn_ops;
}

uint32_t RecordFormats::new_job_group_size() const {
  return packed_groups_enabled() ? TasksPerPackedGroup(settings_.SmallestStateLimits().value_kb)
                                 : 0;
}

void RecordFormats::OnNodeFormat(const std::string& node, const std::string& value) {
  uint64_t format = 0;
  if (!value.empty()) {
    format = RecordOrLog(NodeFormatKey(node), ReadNodeFormat(value)).value_or(0);
  }
  node_formats_[node] = format;
  wake_.Notify();
}

void RecordFormats::OnFormatRecord(const std::string& value) {
  if (value.empty() || format_record_) return;
  auto record = RecordOrLog(FormatKey(), ReadFormat(value));
  if (!record) return;
  format_record_ = record;
  // The operators lower the limits only after every node is upgraded, which is now certain.
  client_.ExpectLoweredLimits();
  spdlog::info("record format: changed format={}; nodes of older versions can no longer join",
               kRecordFormat);
  wake_.Notify();
}

void RecordFormats::MarkAllNodesUpgraded(const std::string& reason) {
  if (packed_groups_enabled() || !upgrade_proof_.empty()) return;
  spdlog::info("record format: all nodes upgraded reason={}", reason);
  upgrade_proof_ = reason;
  wake_.Notify();
}

uint64_t RecordFormats::NodeFormatOf(const std::string& node) const {
  auto known = node_formats_.find(node);
  return known == node_formats_.end() ? 0 : known->second;
}

bool RecordFormats::AllNodesSupport(uint64_t format) const {
  return NodeFormatOf(settings_.node) >= format &&
         std::all_of(settings_.seeds.begin(), settings_.seeds.end(),
                     [this, format](const config::Seed& seed) {
                       return NodeFormatOf(seed.node) >= format;
                     });
}

bool RecordFormats::LocalFormatRecorded() const {
  // A higher recorded format does not count, because other nodes must not request a feature that
  // has since been disabled on this node.
  return NodeFormatOf(settings_.node) == local_format_;
}

bool RecordFormats::MustWriteFormatRecord() const {
  return !packed_groups_enabled() && (AllNodesSupport(kRecordFormat) || change_pending());
}

async::Task<bool> RecordFormats::Write(std::string key, uint64_t version, std::string value) {
  std::vector<model::Precondition> preconditions = {{key, version}};
  std::vector<model::KeyWrite> writes = {{key, value, 0}};
  auto result = co_await client_.Commit(std::move(preconditions), std::move(writes),
                                        RequestPriority::kUrgent);
  if (result.ok()) cache_.ApplyAheadOfWatch(key, value, result.value.revision);
  co_return result.ok();
}

async::Task<> RecordFormats::Run() {
  std::mt19937 random{std::random_device{}()};
  std::uniform_real_distribution<double> retry_s(
      kMinRetryIntervals * settings_.heartbeat_interval_s,
      kMaxRetryIntervals * settings_.heartbeat_interval_s);
  while (!scope_.cancelled() && !BothFormatsRecorded()) {
    const bool loaded = cache_.loaded();
    if (loaded && !LocalFormatRecorded()) {
      // Overwrites any other format recorded for this node, such as that of an older version.
      const std::string key = NodeFormatKey(settings_.node);
      co_await Write(key, cache_.Version(key), WriteNodeFormat(local_format_));
    } else if (loaded && MustWriteFormatRecord()) {
      // Version 0: an existing format record is never overwritten, even if this node can't read it.
      // The first node to write it decides for all nodes; the others read it.
      co_await Write(FormatKey(), 0, WriteFormat({kRecordFormat, DefaultLayout(settings_)}));
    }
    if (BothFormatsRecorded() || scope_.cancelled()) break;
    if (!loaded || !LocalFormatRecorded() || MustWriteFormatRecord()) {
      async::Sleep pause(scope_, retry_s(random));
      co_await pause;
    } else {
      auto wait = wake_.Await(scope_, settings_.heartbeat_interval_s);
      co_await wait;
    }
  }
}

}  // namespace hallpier::store
