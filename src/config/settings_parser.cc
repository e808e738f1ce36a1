#include "config/settings_parser.h"

#include <spdlog/spdlog.h>
#include <toml++/toml.h>

#include <set>
#include <sstream>

#include "config/text_file.h"
#include "net/address.h"

namespace hallpier::config {
namespace {

// Larger than any sensible value of a setting.
constexpr double kMaxNumber = 1e15;
// Smallest limit on the writes of a transaction that this program supports, because records that
// belong together are written in one transaction.
constexpr double kMinTransactionWrites = 4;

// A table of the file, and the prefix of its field names in errors ("params.state.").
struct Section {
  const toml::table& table;
  std::string path;
};

// Reads fields one by one and collects the errors.
class FieldReader {
 public:
  FieldReader(const toml::table& root, std::vector<ConfigError>* errors)
      : root_(root), errors_(*errors) {}

  void AddError(std::string field, std::string reason) {
    errors_.push_back({std::move(field), std::move(reason)});
  }

  std::string Text(const Section& section, const char* key) {
    auto text = section.table[key].value<std::string>();
    if (!text || text->empty()) AddError(section.path + key, "missing, empty or not a string");
    return text.value_or("");
  }

  std::string Address(const Section& section, const char* key) {
    std::string text = Text(section, key);
    if (!text.empty() && !net::ParseAddress(text)) {
      AddError(section.path + key, "not an IPv4 address with a port: " + text);
    }
    return text;
  }

  // Reads a number of at least `minimum`. `fallback`: value of a missing field; std::nullopt if
  // the field is required.
  double Number(const Section& section, const char* key, double minimum,
                std::optional<double> fallback = std::nullopt) {
    auto node = section.table[key];
    if (!node && fallback) return *fallback;
    auto number = node.value<double>();
    if (!number) {
      AddError(section.path + key, "missing or not a number");
      return minimum;
    }
    if (!(*number >= minimum) || *number > kMaxNumber) {
      std::ostringstream reason;
      reason << *number << " is not between " << minimum << " and " << kMaxNumber;
      AddError(section.path + key, reason.str());
      return minimum;
    }
    return *number;
  }

  // Reads the limits of the state service. `fallback`: values of missing fields; std::nullopt if
  // all fields are required.
  StateLimits Limits(const Section& section, const std::optional<StateLimits>& fallback) {
    auto number = [&](const char* key, double minimum, auto StateLimits::*limit) {
      std::optional<double> default_value;
      if (fallback) default_value = static_cast<double>((*fallback).*limit);
      return Number(section, key, minimum, default_value);
    };
    StateLimits limits;
    limits.rps = number("rps", 1, &StateLimits::rps);
    limits.write_rps = number("write_rps", 1, &StateLimits::write_rps);
    limits.value_kb = number("value_kb", 1, &StateLimits::value_kb);
    limits.txn_ops =
        static_cast<int>(number("txn_ops", kMinTransactionWrites, &StateLimits::txn_ops));
    return limits;
  }

  Section Root() const { return {root_, ""}; }

  Section RequiredSection(const std::string& name) {
    if (root_.at_path(name).as_table() == nullptr) AddError(name, "missing section");
    return OptionalSection(name);
  }

  Section OptionalSection(const std::string& name) const {
    static const toml::table kEmpty;
    const toml::table* table = root_.at_path(name).as_table();
    return {table == nullptr ? kEmpty : *table, name + "."};
  }

  // Calls `read` for each table of an array of tables. The array may be missing.
  template <class F>
  void ForEach(const std::string& name, F read) {
    const toml::array* array = root_.at_path(name).as_array();
    if (array == nullptr) return;
    for (size_t i = 0; i < array->size(); ++i) {
      const std::string path = name + "[" + std::to_string(i) + "].";
      if (const toml::table* table = array->get(i)->as_table()) {
        read(Section{*table, path});
      } else {
        AddError(path, "not a table");
      }
    }
  }

 private:
  const toml::table& root_;
  std::vector<ConfigError>& errors_;
};

// Checks that all seeds have different names. This node may be one of the seeds.
void CheckSeedNames(const Settings& settings, FieldReader* reader) {
  std::set<std::string> names;
  for (const Seed& seed : settings.seeds) {
    if (seed.node.empty() || names.insert(seed.node).second) continue;
    reader->AddError("seeds", "two nodes are named " + seed.node);
  }
}

void ReadNode(FieldReader& reader, Settings* settings) {
  const Section root = reader.Root();
  settings->node = reader.Text(root, "node");
  settings->area = reader.Text(root, "area");
  settings->listen = reader.Address(root, "listen");
  settings->peer_bind = reader.Address(root, "peer_bind");
  reader.ForEach("seeds", [&](const Section& seed) {
    settings->seeds.push_back(
        {reader.Text(seed, "node"), reader.Text(seed, "area"), reader.Address(seed, "endpoint")});
  });
  CheckSeedNames(*settings, &reader);
}

void ReadServices(FieldReader& reader, Settings* settings) {
  const Section services = reader.RequiredSection("services");
  settings->cloud = reader.Address(services, "cloud");
  settings->state = reader.Address(services, "state");
}

void ReadCluster(FieldReader& reader, Settings* settings) {
  const Section params = reader.RequiredSection("params");
  const double default_size = 1.0 + static_cast<double>(settings->seeds.size());
  settings->cluster_size = static_cast<int>(reader.Number(params, "size", 1, default_size));
  settings->skew_ms = reader.Number(params, "skew_ms", 0, 0.0);
  const toml::array* zones = params.table["zones"].as_array();
  if (zones == nullptr) return;
  for (const auto& zone : *zones) {
    if (auto name = zone.value<std::string>()) settings->zones.push_back(*name);
  }
}

void ReadTeams(FieldReader& reader, Settings* settings) {
  reader.ForEach("params.teams", [&](const Section& section) {
    Team team;
    team.name = reader.Text(section, "name");
    team.cpus = reader.Number(section, "cpus", 0, 0.0);
    team.cpus_max = reader.Number(section, "cpus_max", 0, 0.0);
    team.gpus = reader.Number(section, "gpus", 0, 0.0);
    team.gpus_max = reader.Number(section, "gpus_max", 0, 0.0);
    settings->teams.push_back(std::move(team));
  });
}

void ReadObjectives(FieldReader& reader, Settings* settings) {
  reader.ForEach("params.objectives", [&](const Section& section) {
    Objective objective;
    objective.kind = reader.Text(section, "kind");
    objective.job_class = section.table["class"].value_or(std::string());
    objective.within_s = reader.Number(section, "within_s", 0, 0.0);
    objective.share = reader.Number(section, "share", 0, 0.0);
    if (objective.kind != "finished" && objective.kind != "wait") {
      spdlog::info("settings: objective ignored field={} kind={}", section.path, objective.kind);
    }
    settings->objectives.push_back(std::move(objective));
  });
}

void ReadWorkers(FieldReader& reader, Settings* settings) {
  constexpr double kMinHeartbeatIntervalS = 0.01;
  constexpr double kMinLeaseS = 0.1;
  const Section workers = reader.RequiredSection("params.workers");
  settings->heartbeat_interval_s = reader.Number(workers, "report_s", kMinHeartbeatIntervalS);
  settings->lease_s = reader.Number(workers, "lease_s", kMinLeaseS);
  settings->cancel_s = reader.Number(workers, "cancel_s", kMinLeaseS);
}

void ReadStateService(FieldReader& reader, Settings* settings) {
  const Section state = reader.RequiredSection("params.state");
  const StateLimits limits = reader.Limits(state, std::nullopt);
  settings->state_rps = limits.rps;
  settings->state_write_rps = limits.write_rps;
  settings->value_kb = limits.value_kb;
  settings->txn_ops = limits.txn_ops;
  if (!state.table.contains("next")) return;
  if (const toml::table* next = state.table["next"].as_table()) {
    settings->next_state_limits = reader.Limits({*next, "params.state.next."}, limits);
  } else {
    reader.AddError("params.state.next", "not a table");
  }
}

void ReadCloud(FieldReader& reader, Settings* settings) {
  constexpr double kMinCallsPerSecond = 0.01;
  const Section cloud = reader.RequiredSection("params.cloud");
  settings->cloud_rps = reader.Number(cloud, "rps", kMinCallsPerSecond);
  settings->list_lag_s = reader.Number(cloud, "list_lag_s", 0);
}

void ReadMachineLimits(FieldReader& reader, Settings* settings) {
  constexpr double kMinCoreShare = 0.001;
  constexpr double kMinMemoryMb = 16;
  constexpr double kMinSockets = 16;
  constexpr double kDefaultMemoryMb = 256;
  constexpr double kDefaultSockets = 1000;
  const Section limits = reader.OptionalSection("params.machine_limits");
  settings->core_share = reader.Number(limits, "core_share", kMinCoreShare, 1.0);
  settings->memory_mb = reader.Number(limits, "memory_mb", kMinMemoryMb, kDefaultMemoryMb);
  settings->max_sockets =
      static_cast<int>(reader.Number(limits, "max_sockets", kMinSockets, kDefaultSockets));
}

}  // namespace

ParseResult<Settings> ParseSettings(const std::string& text) {
  ParseResult<Settings> parsed;
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    const std::string line = "line " + std::to_string(error.source().begin.line);
    parsed.errors.push_back({line, std::string(error.description())});
    return parsed;
  }
  FieldReader reader(root, &parsed.errors);
  ReadNode(reader, &parsed.value);
  ReadServices(reader, &parsed.value);
  ReadCluster(reader, &parsed.value);
  ReadTeams(reader, &parsed.value);
  ReadObjectives(reader, &parsed.value);
  ReadWorkers(reader, &parsed.value);
  ReadStateService(reader, &parsed.value);
  ReadCloud(reader, &parsed.value);
  ReadMachineLimits(reader, &parsed.value);
  return parsed;
}

ParseResult<Settings> LoadSettings(const std::string& path) {
  auto text = ReadTextFile(path);
  if (!text) return {{}, {{path, "can't be read"}}};
  return ParseSettings(*text);
}

}  // namespace hallpier::config
