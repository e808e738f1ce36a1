#include "store/formats.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "model/key_value.h"
#include "store/keys.h"

namespace hallpier::store {

TaskGroupLayout CommonLayout(const config::Settings& settings) {
  const uint32_t whole = TasksPerTextGroup(settings.value_kb);
  const uint32_t fit = TasksPerPackedGroup(settings.least().value_kb);
  return {whole, (whole + fit - 1) / fit};
}

Formats::Formats(async::Scope& scope, const config::Settings& settings, Client& client,
                 WatchCache& cache, uint64_t mark)
    : scope_(scope), settings_(settings), client_(client), cache_(cache), mark_(mark) {}

size_t Formats::value_bytes() const {
  const double kb = packed() ? settings_.least().value_kb : settings_.value_kb;
  return static_cast<size_t>(kb * 1024);
}

int Formats::txn_ops() const { return packed() ? settings_.least().txn_ops : settings_.txn_ops; }

uint32_t Formats::group() const {
  return packed() ? TasksPerPackedGroup(settings_.least().value_kb) : 0;
}

void Formats::OnNodeFormat(const std::string& node, const std::string& value) {
  uint64_t format = 0;
  if (!value.empty()) {
    format = ReadNodeFormat(value).ToOptionalOrLog(NodeFormatKey(node)).value_or(0);
  }
  marks_[node] = format;
  wake_.Notify();
}

void Formats::OnRecord(const std::string& value) {
  if (value.empty() || record_) return;
  auto record = ReadFormat(value).ToOptionalOrLog(FormatKey());
  if (!record) return;
  record_ = record;
  client_.ExpectLowered();
  spdlog::info("formats: {} from now on; a node of an older version can't come back",
               kRecordFormat);
  wake_.Notify();
}

void Formats::Prove(const std::string& why) {
  if (packed() || !proof_.empty()) return;
  spdlog::info("formats: every node is new: {}", why);
  proof_ = why;
  wake_.Notify();
}

uint64_t Formats::NodeFormatOf(const std::string& node) const {
  auto it = marks_.find(node);
  return it == marks_.end() ? 0 : it->second;
}

bool Formats::AllMarked(uint64_t least) const {
  return NodeFormatOf(settings_.node) >= least &&
         std::all_of(settings_.seeds.begin(), settings_.seeds.end(),
                     [&](const config::Seed& s) { return NodeFormatOf(s.node) >= least; });
}

async::Task<bool> Formats::Record(std::string key, uint64_t version, std::string value) {
  std::vector<model::Precondition> preconditions = {{key, version}};
  std::vector<model::KeyWrite> writes = {{key, value, 0}};
  auto r = co_await client_.Commit(std::move(preconditions), std::move(writes), Urgent::kYes);
  if (r.ok()) cache_.Apply(key, value, r.value.revision);
  co_return r.ok();
}

async::Task<> Formats::Run() {
  std::mt19937 random{std::random_device{}()};
  // Nodes that see the last mark at the same moment do not all try at once.
  std::uniform_real_distribution<double> pause(0.1 * settings_.heartbeat_interval_s,
                                               0.3 * settings_.heartbeat_interval_s);
  // Not one that says more either: what was switched off since must not be asked of this node.
  auto marked = [&] { return NodeFormatOf(settings_.node) == mark_; };
  while (!scope_.cancelled() && !(packed() && marked())) {
    const bool known = cache_.loaded();
    auto due = [&] { return !packed() && (AllMarked(kRecordFormat) || changing()); };
    if (known && !marked()) {
      // A node's own mark of an older version is written over...
      const std::string key = NodeFormatKey(settings_.node);
      co_await Record(key, cache_.Version(key), WriteNodeFormat(mark_));
    } else if (known && due()) {
      // ...but the format never, not even one that can't be read here: whoever comes second finds
      // it.
      co_await Record(FormatKey(), 0, WriteFormat({kRecordFormat, CommonLayout(settings_)}));
    }
    if ((packed() && marked()) || scope_.cancelled()) break;
    if (!known || !marked() || due()) {
      async::Sleep rest(scope_, pause(random));
      co_await rest;
    } else {
      auto wait = wake_.Await(scope_, settings_.heartbeat_interval_s);
      co_await wait;
    }
  }
}

}  // namespace hallpier::store
