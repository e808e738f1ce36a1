#include "config/settings.h"

#include <confuse.h>
#include <spdlog/spdlog.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>

#include "net/stream.h"

namespace hallpier::config {
namespace {

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// libconfuse reports faults through a plain function; this is where the current parse wants them.
std::vector<std::string>* operator_faults = nullptr;

void OnOperatorError(cfg_t* cfg, const char* format, va_list args) {
  char text[200];
  vsnprintf(text, sizeof(text), format, args);
  operator_faults->push_back("operator file, line " + std::to_string(cfg->line) + ": " + text);
}

class Reader {
 public:
  Reader(const toml::table& root, std::vector<std::string>* faults)
      : root_(root), faults_(*faults) {}

  void Fault(const std::string& field, const std::string& what) {
    faults_.push_back(field + ": " + what);
  }

  std::string Text(const toml::table& t, const std::string& where, const char* key) {
    auto v = t[key].value<std::string>();
    if (!v || v->empty()) Fault(where + key, "missing, or not a text");
    return v.value_or("");
  }

  std::string Address(const toml::table& t, const std::string& where, const char* key) {
    std::string text = Text(t, where, key);
    if (!text.empty() && !net::ParseAddress(text)) Fault(where + key, "not an address: " + text);
    return text;
  }

  // A number of at least `least`; `otherwise` if it may be missing and is.
  double Number(const toml::table& t, const std::string& where, const char* key, double least,
                std::optional<double> otherwise = std::nullopt) {
    auto node = t[key];
    if (!node && otherwise) return *otherwise;
    auto v = node.value<double>();
    if (!v) {
      Fault(where + key, "missing, or not a number");
      return least;
    }
    if (!(*v >= least) || *v > 1e15) {
      std::ostringstream what;
      what << *v << " is out of range";
      Fault(where + key, what.str());
      return least;
    }
    return *v;
  }

  // What the state service takes; where `otherwise` is given, a limit may be missing.
  StateLimits Limits(const toml::table& t, const std::string& where,
                     const std::optional<StateLimits>& otherwise) {
    auto number = [&](const char* key, double least, auto StateLimits::*limit) {
      std::optional<double> other;
      if (otherwise) other = static_cast<double>((*otherwise).*limit);
      return Number(t, where, key, least, other);
    };
    StateLimits out;
    out.rps = number("rps", 1, &StateLimits::rps);
    out.write_rps = number("write_rps", 1, &StateLimits::write_rps);
    out.value_kb = number("value_kb", 1, &StateLimits::value_kb);
    out.txn_ops = static_cast<int>(number("txn_ops", 4, &StateLimits::txn_ops));
    return out;
  }

  const toml::table& Table(const char* path, bool required = true) {
    if (const toml::table* t = root_.at_path(path).as_table()) return *t;
    if (required) Fault(path, "missing section");
    static const toml::table kEmpty;
    return kEmpty;
  }

  template <class F>
  void Each(const char* path, F f) {
    const toml::array* a = root_.at_path(path).as_array();
    if (a == nullptr) return;
    for (size_t i = 0; i < a->size(); ++i) {
      std::string where = std::string(path) + "[" + std::to_string(i) + "].";
      if (const toml::table* t = a->get(i)->as_table()) {
        f(*t, where);
      } else {
        Fault(where, "not a table");
      }
    }
  }

 private:
  const toml::table& root_;
  std::vector<std::string>& faults_;
};

// A node may stand among its own seeds, but no name may stand for two of them.
void CheckNames(const Settings& settings, Reader* reader) {
  std::set<std::string> names;
  for (const Seed& seed : settings.seeds) {
    if (seed.node.empty() || names.insert(seed.node).second) continue;
    reader->Fault("seeds", "two nodes are named " + seed.node);
  }
}

}  // namespace

StateLimits Settings::least() const {
  StateLimits out{state_rps, state_write_rps, value_kb, txn_ops};
  if (!state_next) return out;
  out.rps = std::min(out.rps, state_next->rps);
  out.write_rps = std::min(out.write_rps, state_next->write_rps);
  out.value_kb = std::min(out.value_kb, state_next->value_kb);
  out.txn_ops = std::min(out.txn_ops, state_next->txn_ops);
  return out;
}

std::vector<Seed> Settings::OtherSeeds() const {
  std::vector<Seed> others;
  for (const Seed& seed : seeds) {
    if (seed.node != node) others.push_back(seed);
  }
  return others;
}

std::vector<std::string> Settings::OtherNodes() const {
  std::vector<std::string> names;
  for (Seed& seed : OtherSeeds()) names.push_back(std::move(seed.node));
  return names;
}

const Team* Settings::FindTeam(const std::string& name) const {
  for (const Team& t : teams) {
    if (t.name == name) return &t;
  }
  return nullptr;
}

const Objective* Settings::FindObjective(const std::string& kind,
                                         const std::string& job_class) const {
  for (const Objective& o : objectives) {
    if (o.kind == kind && o.job_class == job_class) return &o;
  }
  return nullptr;
}

double ReactionS(const Settings& settings, const Operator& operators) {
  constexpr double kRounds = 1.5;
  return std::min(settings.heartbeat_interval_s, kRounds * operators.round_s);
}

Settings ParseSettings(const std::string& text, std::vector<std::string>* faults) {
  Settings s;
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& e) {
    std::ostringstream what;
    what << "line " << e.source().begin.line << ": " << e.description();
    faults->push_back(what.str());
    return s;
  }
  Reader r(root, faults);
  s.node = r.Text(root, "", "node");
  s.area = r.Text(root, "", "area");
  s.listen = r.Address(root, "", "listen");
  s.peer_bind = r.Address(root, "", "peer_bind");
  r.Each("seeds", [&](const toml::table& t, const std::string& where) {
    s.seeds.push_back(
        {r.Text(t, where, "node"), r.Text(t, where, "area"), r.Address(t, where, "endpoint")});
  });
  CheckNames(s, &r);
  const toml::table& services = r.Table("services");
  s.cloud = r.Address(services, "services.", "cloud");
  s.state = r.Address(services, "services.", "state");
  const toml::table& params = r.Table("params");
  s.size = static_cast<int>(
      r.Number(params, "params.", "size", 1, 1.0 + static_cast<double>(s.seeds.size())));
  s.skew_ms = r.Number(params, "params.", "skew_ms", 0, 0.0);
  if (const toml::array* zones = params["zones"].as_array()) {
    for (const auto& z : *zones) {
      if (auto v = z.value<std::string>()) s.zones.push_back(*v);
    }
  }
  r.Each("params.teams", [&](const toml::table& t, const std::string& where) {
    Team team;
    team.name = r.Text(t, where, "name");
    team.cpus = r.Number(t, where, "cpus", 0, 0.0);
    team.cpus_max = r.Number(t, where, "cpus_max", 0, 0.0);
    team.gpus = r.Number(t, where, "gpus", 0, 0.0);
    team.gpus_max = r.Number(t, where, "gpus_max", 0, 0.0);
    s.teams.push_back(std::move(team));
  });
  r.Each("params.objectives", [&](const toml::table& t, const std::string& where) {
    s.objectives.push_back({r.Text(t, where, "kind"), t["class"].value_or(std::string()),
                            r.Number(t, where, "within_s", 0, 0.0),
                            r.Number(t, where, "share", 0, 0.0)});
    const std::string& kind = s.objectives.back().kind;
    if (kind != "finished" && kind != "wait") {
      spdlog::info("settings: {}: aims of kind \"{}\" change nothing here", where, kind);
    }
  });
  const toml::table& workers = r.Table("params.workers");
  s.heartbeat_interval_s = r.Number(workers, "params.workers.", "report_s", 0.01);
  s.lease_s = r.Number(workers, "params.workers.", "lease_s", 0.1);
  s.cancel_s = r.Number(workers, "params.workers.", "cancel_s", 0.1);
  const toml::table& state = r.Table("params.state");
  const StateLimits now = r.Limits(state, "params.state.", std::nullopt);
  s.state_rps = now.rps;
  s.state_write_rps = now.write_rps;
  s.value_kb = now.value_kb;
  s.txn_ops = now.txn_ops;
  if (state.contains("next")) {
    if (const toml::table* next = state["next"].as_table()) {
      s.state_next = r.Limits(*next, "params.state.next.", now);
    } else {
      r.Fault("params.state.next", "not a table");
    }
  }
  const toml::table& cloud = r.Table("params.cloud");
  s.cloud_rps = r.Number(cloud, "params.cloud.", "rps", 0.01);
  s.list_lag_s = r.Number(cloud, "params.cloud.", "list_lag_s", 0);
  const toml::table& limits = r.Table("params.machine_limits", false);
  s.core_share = r.Number(limits, "params.machine_limits.", "core_share", 0.001, 1.0);
  s.memory_mb = r.Number(limits, "params.machine_limits.", "memory_mb", 16, 256.0);
  s.max_sockets =
      static_cast<int>(r.Number(limits, "params.machine_limits.", "max_sockets", 16, 1000.0));
  return s;
}

Settings LoadSettings(const std::string& path, std::vector<std::string>* faults) {
  auto text = ReadFile(path);
  if (!text) {
    faults->push_back(path + ": can't be read");
    return {};
  }
  return ParseSettings(*text, faults);
}

namespace {

// A number of the operators' file, with the range that it must lie in.
struct OperatorField {
  const char* name;
  double* into;
  double least, most;
};

std::vector<cfg_opt_t> OptionsOf(const std::vector<OperatorField>& fields) {
  std::vector<cfg_opt_t> options;
  options.reserve(fields.size() + 2);
  for (const OperatorField& field : fields) {
    options.push_back(CFG_FLOAT(field.name, *field.into, CFGF_NONE));
  }
  return options;
}

// Those of a section that is switched on and off as a whole.
std::vector<cfg_opt_t> SwitchedOptionsOf(const std::vector<OperatorField>& fields) {
  std::vector<cfg_opt_t> options = OptionsOf(fields);
  options.push_back(CFG_BOOL("enabled", cfg_false, CFGF_NONE));
  options.push_back(CFG_END());
  return options;
}

// One line per fault, with `where` before the name.
void TakeFields(cfg_t* section, const std::string& where, const std::vector<OperatorField>& fields,
                std::vector<std::string>* faults) {
  for (const OperatorField& field : fields) {
    const double number = cfg_getfloat(section, field.name);
    if (!(number >= field.least) || !(number <= field.most)) {
      std::ostringstream what;
      what << where << field.name << ": " << number << " is not between " << field.least << " and "
           << field.most;
      faults->push_back(what.str());
      continue;
    }
    *field.into = number;
  }
}

}  // namespace

Operator ParseOperator(const std::string& text, std::vector<std::string>* faults) {
  Operator out;
  const std::vector<OperatorField> fields = {
      {"round_s", &out.round_s, 0.1, 60},
      {"leader_ttl_ratio", &out.leader_ttl_ratio, 0.3, 20},
      {"blind_ratio", &out.blind_ratio, 0.05, 2},
      {"silent_ratio", &out.silent_ratio, 2, 100},
      {"idle_ratio", &out.idle_ratio, 0.1, 1000},
      {"headroom", &out.headroom, 0, 10},
      {"patience_ratio", &out.patience_ratio, 0, 100},
      {"starve_s", &out.starve_s, 1, 1e6},
      {"starve_share", &out.starve_share, 0, 1},
      {"urgent_reserve", &out.urgent_reserve, 0, 0.9},
  };
  const std::vector<OperatorField> membership_fields = {
      {"probe_ratio", &out.membership.probe_ratio, 0.01, 1},
      {"missed_probes", &out.membership.missed_probes, 2, 100},
      {"confirm_probes", &out.membership.confirm_probes, 1, 100},
      {"yield_leases", &out.membership.yield_leases, 0.1, 100},
  };
  const std::vector<OperatorField> blocks_fields = {
      {"holders", &out.blocks.holders, 2, 64},
      {"lease_ratio", &out.blocks.lease_ratio, 0.25, 100},
      {"widen_ratio", &out.blocks.widen_ratio, 0.01, 100},
  };
  std::vector<cfg_opt_t> membership_options = SwitchedOptionsOf(membership_fields);
  std::vector<cfg_opt_t> blocks_options = SwitchedOptionsOf(blocks_fields);
  std::vector<cfg_opt_t> options = OptionsOf(fields);
  options.push_back(CFG_SEC("membership", membership_options.data(), CFGF_NONE));
  options.push_back(CFG_SEC("blocks", blocks_options.data(), CFGF_NONE));
  options.push_back(CFG_END());
  std::unique_ptr<cfg_t, decltype(&cfg_free)> cfg(cfg_init(options.data(), CFGF_NONE), &cfg_free);
  cfg_set_error_function(cfg.get(), OnOperatorError);
  operator_faults = faults;
  const bool parsed = cfg_parse_buf(cfg.get(), text.c_str()) == CFG_SUCCESS;
  operator_faults = nullptr;
  if (!parsed) return out;
  TakeFields(cfg.get(), "", fields, faults);
  cfg_t* membership = cfg_getsec(cfg.get(), "membership");
  TakeFields(membership, "membership.", membership_fields, faults);
  out.membership.enabled = cfg_getbool(membership, "enabled") == cfg_true;
  cfg_t* blocks = cfg_getsec(cfg.get(), "blocks");
  TakeFields(blocks, "blocks.", blocks_fields, faults);
  out.blocks.enabled = cfg_getbool(blocks, "enabled") == cfg_true;
  if (out.blocks.holders != std::floor(out.blocks.holders)) {
    faults->push_back("blocks.holders: not a whole number");
  }
  if (out.blocks.enabled && !out.membership.enabled) {
    faults->push_back("blocks.enabled: needs membership.enabled");
  }
  return out;
}

std::vector<std::string> ContradictionsOf(const Settings& settings, const Operator& operators) {
  std::vector<std::string> faults;
  if (!operators.blocks.enabled) return faults;
  auto check = [&](const Team& team, const char* kind, double guarantee, double limit) {
    if (limit <= 0 || guarantee <= limit) return;
    std::ostringstream what;
    what << "params.teams: " << team.name << " is guaranteed " << guarantee << " " << kind
         << ", more than its limit of " << limit;
    faults.push_back(what.str());
  };
  for (const Team& team : settings.teams) {
    check(team, "cpus", team.cpus, team.cpus_max);
    check(team, "gpus", team.gpus, team.gpus_max);
  }
  return faults;
}

Operator LoadOperator(const std::string& path, std::vector<std::string>* faults) {
  auto text = ReadFile(path);
  if (!text) {
    faults->push_back(path + ": can't be read");
    return {};
  }
  return ParseOperator(*text, faults);
}

}  // namespace hallpier::config
