// Runs real controller processes on loopback, which are stopped, continued and killed at random,
// with membership on. Scaled down for CI: three controllers, a few dozen tasks, a few seconds per
// seed.
#include <sys/prctl.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>

#include "end_to_end.h"
#include "membership/member_record.h"
#include "model/member.h"
#include "model/task.h"

namespace hallpier {
namespace {

using namespace testing_support;

// Runs one controller process. The destructor kills it.
class ControllerProcess {
 public:
  ControllerProcess(std::string settings_file, std::string operator_file)
      : settings_file_(std::move(settings_file)), operator_file_(std::move(operator_file)) {}
  ~ControllerProcess() { Kill(); }
  ControllerProcess(const ControllerProcess&) = delete;
  ControllerProcess& operator=(const ControllerProcess&) = delete;

  void Start() {
    pid_ = fork();
    if (pid_ != 0) return;
    // Kills the controller when the test process ends, even if the test crashes.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("LOG_LEVEL", "error", 1);
    execl(HALLPIER_BINARY, HALLPIER_BINARY, "--operator", operator_file_.c_str(), "--config",
          settings_file_.c_str(), nullptr);
    _exit(127);
  }
  void Kill() {
    if (pid_ <= 0) return;
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }
  bool running() const { return pid_ > 0; }

 private:
  const std::string settings_file_, operator_file_;
  pid_t pid_ = 0;
};

class ProcessTest : public EndToEndTest, public testing::WithParamInterface<int> {
 public:
  static constexpr int kNodes = 3;
  static constexpr double kFaultPeriodS = 8;

  ProcessTest() : random_(static_cast<uint64_t>(GetParam())) { run_s_ = 0.5; }

  void StartAll() {
    StartServices(kNodes);
    WatchState();
    char name[] = "/tmp/hallpier-process-test-XXXXXX";
    RequireStarted(mkdtemp(name) != nullptr, "the test directory", name);
    directory_ = name;
    WriteFile("operator.conf",
              "leader_ttl_ratio = 4\nmembership {\n  enabled = true\n}\n" + blocks_options_);
    for (int i = 0; i < kNodes; ++i) {
      const std::string file = "node-" + std::to_string(i) + ".toml";
      WriteFile(file, SettingsText(NodeSettings(i, kNodes)));
      processes_.push_back(std::make_unique<ControllerProcess>(directory_ + "/" + file,
                                                               directory_ + "/operator.conf"));
      processes_.back()->Start();
    }
  }
  ~ProcessTest() override {
    processes_.clear();
    if (directory_.empty()) return;
    for (const std::string& file : files_) std::remove((directory_ + "/" + file).c_str());
    rmdir(directory_.c_str());
  }

  async::Task<> RunWithFaults() {
    bool ok = co_await AskUntil(0, "GET", "/ready", "", 200, "", 20);
    EXPECT_TRUE(ok);
    scope_.Spawn(SubmitJobs());
    const double end = loop_.Now() + kFaultPeriodS;
    while (loop_.Now() < end) {
      InjectFault();
      co_await Pause(std::uniform_real_distribution<double>(0.1, 0.7)(random_));
    }
    for (auto& process : processes_) {
      process->Signal(SIGCONT);
      if (!process->running()) process->Start();
    }
    ok = co_await WaitFor(30, [&] { return submitted_all_; });
    EXPECT_TRUE(ok);
    EXPECT_GT(accepted_.size(), 5U);
    for (const std::string& id : accepted_) {
      ok = co_await AskUntil(0, "GET", "/submissions/" + id, "", 200, R"("phase":"done")", 40);
      EXPECT_TRUE(ok) << id << " must be done";
    }
    ok = co_await WaitFor(20, [&] { return AllAlive(); });
    EXPECT_TRUE(ok) << "every process must be an alive member again";
  }

  int failures_declared() const { return failures_declared_; }
  int failures_declared_twice() const { return failures_declared_twice_; }
  int leader_overwrites() const { return leader_overwrites_; }

 protected:
  std::string blocks_options_;  // blocks section of the operator's file
  double submit_pause_s_ = 0.3;
  int allocation_writes_ = 0;  // writes of quota allocation records

 private:
  void InjectFault() {
    auto& process = *processes_[std::uniform_int_distribution<size_t>(0, kNodes - 1)(random_)];
    switch (std::uniform_int_distribution<int>(0, 3)(random_)) {
      case 0:
        process.Kill();
        break;
      case 1:
        process.Signal(SIGSTOP);
        break;
      default:
        process.Signal(SIGCONT);
        if (!process.running()) process.Start();
        break;
    }
  }

  async::Task<> SubmitJobs() {
    const double end = loop_.Now() + kFaultPeriodS;
    for (int i = 0; loop_.Now() < end; ++i) {
      const std::string id = "run-" + std::to_string(100 + i);
      // Retries as users do, at each node in turn until one accepts the job.
      for (int attempt = 0; loop_.Now() < end; ++attempt) {
        wire::HttpResponse r = co_await Ask((i + attempt) % kNodes, "POST", "/submissions",
                                            SubmissionBody(Spec(id, 3)));
        if (r.status == 200 || r.status == 201) {
          accepted_.push_back(id);
          break;
        }
        co_await Pause(0.2);
      }
      co_await Pause(submit_pause_s_);
    }
    submitted_all_ = true;
  }

  void WatchState() {
    state_->SetWriteHook([this](const std::string& key, const std::string& value) {
      const store::ParsedKey parsed = store::ParseKey(key);
      if (std::holds_alternative<store::LeaderKeyName>(parsed)) {
        if (!leader_.empty() && !value.empty()) ++leader_overwrites_;
        leader_ = value;
      }
      if (std::holds_alternative<store::AllocationKeyName>(parsed)) ++allocation_writes_;
      const auto* member = std::get_if<store::MemberKeyName>(&parsed);
      if (member == nullptr) return;
      auto record = membership::ReadMember(value);
      if (!record || record->state != model::MemberState::kFailed) return;
      ++failures_declared_;
      if (!failed_sessions_.insert({member->node, record->incarnation.session}).second)
        ++failures_declared_twice_;
    });
  }

  bool AllAlive() const {
    for (int i = 0; i < kNodes; ++i) {
      auto record =
          membership::ReadMember(state_->Value(store::MemberKey("node-" + std::to_string(i))));
      if (!record || record->state != model::MemberState::kAlive) return false;
    }
    return true;
  }

  void WriteFile(const std::string& file, const std::string& text) {
    std::ofstream(directory_ + "/" + file) << text;
    files_.push_back(file);
  }

  static std::string SettingsText(const config::Settings& s) {
    std::ostringstream out;
    out << "node = \"" << s.node << "\"\narea = \"a\"\nlisten = \"" << s.listen
        << "\"\npeer_bind = \"" << s.peer_bind << "\"\n";
    for (const config::Seed& seed : s.seeds) {
      out << "[[seeds]]\nnode = \"" << seed.node << "\"\narea = \"a\"\nendpoint = \""
          << seed.endpoint << "\"\n";
    }
    out << "[services]\ncloud = \"" << s.cloud << "\"\nstate = \"" << s.state << "\"\n"
        << "[params]\nsize = " << s.cluster_size << "\nzones = [\"a\", \"b\"]\nskew_ms = 5.0\n";
    for (const config::Team& team : s.teams) {
      out << "[[params.teams]]\nname = \"" << team.name
          << "\"\ncpus = 0.0\ncpus_max = " << team.cpus_max << ".0\n";
    }
    out << "[params.workers]\nreport_s = " << s.heartbeat_interval_s << "\nlease_s = " << s.lease_s
        << ".0\ncancel_s = " << s.cancel_s << ".0\n[params.state]\nrps = " << s.state_rps
        << ".0\nwrite_rps = " << s.state_write_rps << ".0\nvalue_kb = " << s.value_kb
        << ".0\ntxn_ops = " << s.txn_ops << "\n[params.cloud]\nrps = " << s.cloud_rps
        << ".0\nlist_lag_s = " << s.list_lag_s
        << "\n[params.machine_limits]\nmemory_mb = " << s.memory_mb
        << ".0\nmax_sockets = " << s.max_sockets << "\n";
    return out.str();
  }

  std::mt19937_64 random_;
  std::string directory_;
  std::vector<std::string> files_;
  std::vector<std::unique_ptr<ControllerProcess>> processes_;
  std::vector<std::string> accepted_;
  bool submitted_all_ = false;
  std::string leader_;
  std::set<std::pair<std::string, uint64_t>> failed_sessions_;
  int failures_declared_ = 0;
  int failures_declared_twice_ = 0;
  int leader_overwrites_ = 0;
};

TEST_P(ProcessTest, ProcessFaultsLoseNoJobAndStartNoTaskTwice) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  StartAll();
  Run(RunWithFaults());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
  EXPECT_GT(failures_declared(), 0) << "no controller was declared failed";
  EXPECT_EQ(failures_declared_twice(), 0);
  EXPECT_EQ(leader_overwrites(), 0)
      << "a leader record was overwritten while another leader held it";
}

class LateCopyProcessTest : public ProcessTest {
 public:
  LateCopyProcessTest() {
    failing_tasks_ = 1;
    command_copy_delays_s_ = {0.3, 1, 3};
  }
};

TEST_P(LateCopyProcessTest, CopiesStartNoTaskTwiceAndChangeNoRecord) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  StartAll();
  state_->RepeatTransactions(1);
  Run(RunWithFaults());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
  EXPECT_EQ(testing::PrintToString(state_->executed_copies()), "{}");
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateCopyProcessTest, testing::Range(1, 4));

INSTANTIATE_TEST_SUITE_P(Seeds, ProcessTest, testing::Range(1, 4));

// Several controllers place tasks at the same time, under heavy submission at all of them.
class BlocksProcessTest : public ProcessTest {
 public:
  static constexpr int kTeamLimitCpus = 8;

  BlocksProcessTest() {
    blocks_options_ = "blocks {\n  enabled = true\n}\n";
    cpus_max_ = kTeamLimitCpus;
    submit_pause_s_ = 0.05;
  }
  // Counts only the tasks that the fake workers run. Each task takes one CPU.
  void WatchPeak() {
    cloud_->SetStartHook([this](const model::TaskId& /*task*/) {
      peak_cpus_ = std::max(peak_cpus_, cloud_->RunningWithPrefix("run-") + 1);
    });
  }

 protected:
  int peak_cpus_ = 0;
};

TEST_P(BlocksProcessTest, TeamLimitHoldsDespiteProcessFaults) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  StartAll();
  WatchPeak();
  Run(RunWithFaults());
  std::printf("peak of concurrent processors: %d, limit: %d\n", peak_cpus_, kTeamLimitCpus);
  RecordProperty("peak", peak_cpus_);
  EXPECT_LE(peak_cpus_, kTeamLimitCpus);
  EXPECT_GE(peak_cpus_, kTeamLimitCpus / 2) << "too few tasks ran at the same time";
  EXPECT_GT(allocation_writes_, 3) << "too few quota allocations were written";
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
  EXPECT_GT(failures_declared(), 0) << "no controller was declared failed";
}

INSTANTIATE_TEST_SUITE_P(Seeds, BlocksProcessTest, testing::Range(1, 4));

}  // namespace
}  // namespace hallpier
