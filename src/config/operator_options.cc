#include "config/operator_options.h"

#include <confuse.h>

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <memory>
#include <sstream>

#include "config/text_file.h"

namespace hallpier::config {
namespace {

// A numeric option of the file and its allowed range.
struct NumberOption {
  const char* name;
  double* value;
  double minimum;
  double maximum;
};

// Receives the errors of the current parse. It is global because libconfuse reports errors through
// a plain function, and safe because one thread parses the options, at the start of the process.
std::vector<ConfigError>* parse_errors = nullptr;

void OnParseError(cfg_t* file, const char* format, va_list args) {
  constexpr size_t kMaxMessageBytes = 200;
  char message[kMaxMessageBytes];
  vsnprintf(message, sizeof(message), format, args);
  parse_errors->push_back({"operator file, line " + std::to_string(file->line), message});
}

std::vector<cfg_opt_t> DeclareNumbers(const std::vector<NumberOption>& numbers) {
  std::vector<cfg_opt_t> declared;
  declared.reserve(numbers.size() + 2);
  for (const NumberOption& number : numbers) {
    declared.push_back(CFG_FLOAT(number.name, *number.value, CFGF_NONE));
  }
  return declared;
}

// Declares the options of a section that is turned on and off by its `enabled` option.
std::vector<cfg_opt_t> DeclareToggleableSection(const std::vector<NumberOption>& numbers) {
  std::vector<cfg_opt_t> declared = DeclareNumbers(numbers);
  declared.push_back(CFG_BOOL("enabled", cfg_false, CFGF_NONE));
  declared.push_back(CFG_END());
  return declared;
}

// Reads the numbers of a section. `path`: prefix of the option names in errors ("blocks.").
void ReadNumbers(cfg_t* section, const std::string& path, const std::vector<NumberOption>& numbers,
                 std::vector<ConfigError>* errors) {
  for (const NumberOption& number : numbers) {
    const double value = cfg_getfloat(section, number.name);
    if (value >= number.minimum && value <= number.maximum) {
      *number.value = value;
      continue;
    }
    std::ostringstream reason;
    reason << value << " is not between " << number.minimum << " and " << number.maximum;
    errors->push_back({path + number.name, reason.str()});
  }
}

std::vector<NumberOption> GeneralNumbers(OperatorOptions* options) {
  return {
      {"round_s", &options->round_s, 0.1, 60},
      {"leader_ttl_ratio", &options->leader_ttl_ratio, 0.3, 20},
      {"blind_ratio", &options->blind_ratio, 0.05, 2},
      {"silent_ratio", &options->silent_ratio, 2, 100},
      {"idle_ratio", &options->idle_ratio, 0.1, 1000},
      {"headroom", &options->headroom, 0, 10},
      {"patience_ratio", &options->patience_ratio, 0, 100},
      {"starve_s", &options->starve_s, 1, 1e6},
      {"starve_share", &options->starve_share, 0, 1},
      {"urgent_reserve", &options->urgent_reserve, 0, 0.9},
  };
}

std::vector<NumberOption> MembershipNumbers(MembershipOptions* membership) {
  return {
      {"probe_ratio", &membership->probe_ratio, 0.01, 1},
      {"missed_probes", &membership->missed_probes, 2, 100},
      {"confirm_probes", &membership->confirm_probes, 1, 100},
      {"yield_leases", &membership->yield_leases, 0.1, 100},
  };
}

std::vector<NumberOption> BlockNumbers(BlockOptions* blocks) {
  return {
      {"holders", &blocks->max_owners, 2, 64},
      {"lease_ratio", &blocks->lease_ratio, 0.25, 100},
      {"widen_ratio", &blocks->widen_ratio, 0.01, 100},
  };
}

void ValidateBlocks(const OperatorOptions& options, std::vector<ConfigError>* errors) {
  if (options.blocks.max_owners != std::floor(options.blocks.max_owners)) {
    errors->push_back(
        {"blocks.holders", std::to_string(options.blocks.max_owners) + " is not a whole number"});
  }
  if (options.blocks.enabled && !options.membership.enabled) {
    errors->push_back({"blocks.enabled", "needs membership.enabled"});
  }
}

}  // namespace

double ReactionTimeS(const Settings& settings, const OperatorOptions& options) {
  constexpr double kRounds = 1.5;
  return std::min(settings.heartbeat_interval_s, kRounds * options.round_s);
}

ParseResult<OperatorOptions> ParseOperatorOptions(const std::string& text) {
  ParseResult<OperatorOptions> parsed;
  OperatorOptions& options = parsed.value;
  const std::vector<NumberOption> numbers = GeneralNumbers(&options);
  const std::vector<NumberOption> membership_numbers = MembershipNumbers(&options.membership);
  const std::vector<NumberOption> block_numbers = BlockNumbers(&options.blocks);
  std::vector<cfg_opt_t> membership_section = DeclareToggleableSection(membership_numbers);
  std::vector<cfg_opt_t> block_section = DeclareToggleableSection(block_numbers);
  std::vector<cfg_opt_t> file_options = DeclareNumbers(numbers);
  file_options.push_back(CFG_SEC("membership", membership_section.data(), CFGF_NONE));
  file_options.push_back(CFG_SEC("blocks", block_section.data(), CFGF_NONE));
  file_options.push_back(CFG_END());
  const std::unique_ptr<cfg_t, decltype(&cfg_free)> file(cfg_init(file_options.data(), CFGF_NONE),
                                                         &cfg_free);
  cfg_set_error_function(file.get(), OnParseError);
  parse_errors = &parsed.errors;
  const bool readable = cfg_parse_buf(file.get(), text.c_str()) == CFG_SUCCESS;
  parse_errors = nullptr;
  if (!readable) return parsed;
  ReadNumbers(file.get(), "", numbers, &parsed.errors);
  cfg_t* membership = cfg_getsec(file.get(), "membership");
  ReadNumbers(membership, "membership.", membership_numbers, &parsed.errors);
  options.membership.enabled = cfg_getbool(membership, "enabled") == cfg_true;
  cfg_t* blocks = cfg_getsec(file.get(), "blocks");
  ReadNumbers(blocks, "blocks.", block_numbers, &parsed.errors);
  options.blocks.enabled = cfg_getbool(blocks, "enabled") == cfg_true;
  ValidateBlocks(options, &parsed.errors);
  return parsed;
}

ParseResult<OperatorOptions> LoadOperatorOptions(const std::string& path) {
  auto text = ReadTextFile(path);
  if (!text) return {{}, {{path, "can't be read"}}};
  return ParseOperatorOptions(*text);
}

}  // namespace hallpier::config
