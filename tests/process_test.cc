// Real processes on loopback that are stopped, continued and killed at random, with membership on.
// Scaled down for CI: three controllers, a few dozen tasks, some seconds for each seed.
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

// One controller process, killed when it goes out of scope.
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
    // Whatever becomes of the test, nothing of it goes on.
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

class ProcessTest : public EndToEnd, public testing::WithParamInterface<int> {
 public:
  static constexpr int kNodes = 3;
  static constexpr double kStormS = 8;

  ProcessTest() : random_(static_cast<uint64_t>(GetParam())) { run_s_ = 0.5; }

  void StartAll() {
    StartServices(kNodes);
    WatchState();
    char name[] = "/tmp/hallpier-process-test-XXXXXX";
    RequireStarted(mkdtemp(name) != nullptr, "a folder for the test", name);
    folder_ = name;
    Write("operator.conf", "leader_ttl_ratio = 4\nmembership {\n  enabled = true\n}\n" + blocks_);
    for (int i = 0; i < kNodes; ++i) {
      const std::string file = "node-" + std::to_string(i) + ".toml";
      Write(file, SettingsText(NodeSettings(i, kNodes)));
      processes_.push_back(
          std::make_unique<ControllerProcess>(folder_ + "/" + file, folder_ + "/operator.conf"));
      processes_.back()->Start();
    }
  }
  ~ProcessTest() override {
    processes_.clear();
    if (folder_.empty()) return;
    for (const std::string& file : files_) std::remove((folder_ + "/" + file).c_str());
    rmdir(folder_.c_str());
  }

  async::Task<> Storm() {
    bool ok = co_await Until(0, "GET", "/ready", "", 200, "", 20);
    EXPECT_TRUE(ok);
    scope_.Spawn(SubmitJobs());
    const double end = loop_.Now() + kStormS;
    while (loop_.Now() < end) {
      Strike();
      co_await Pause(std::uniform_real_distribution<double>(0.1, 0.7)(random_));
    }
    for (auto& process : processes_) {
      process->Signal(SIGCONT);
      if (!process->running()) process->Start();
    }
    ok = co_await Within(30, [&] { return submitted_all_; });
    EXPECT_TRUE(ok);
    EXPECT_GT(accepted_.size(), 5U);
    for (const std::string& id : accepted_) {
      ok = co_await Until(0, "GET", "/submissions/" + id, "", 200, R"("phase":"done")", 40);
      EXPECT_TRUE(ok) << id << " is lost";
    }
    ok = co_await Within(20, [&] { return AllAlive(); });
    EXPECT_TRUE(ok) << "every process is a member again";
  }

  int verdicts() const { return verdicts_; }
  int verdicts_twice() const { return verdicts_twice_; }
  int leaders_over_leaders() const { return leaders_over_leaders_; }

 protected:
  std::string blocks_;  // of the operators' file
  double submit_pause_s_ = 0.3;
  int lendings_ = 0;  // shares of limits that were written

 private:
  void Strike() {
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
    const double end = loop_.Now() + kStormS;
    for (int i = 0; loop_.Now() < end; ++i) {
      const std::string id = "run-" + std::to_string(100 + i);
      // As users do: again and again, at whichever node answers.
      for (int attempt = 0; loop_.Now() < end; ++attempt) {
        wire::HttpResponse r =
            co_await Ask((i + attempt) % kNodes, "POST", "/submissions", Body(Spec(id, 3)));
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
    state_->Watch([this](const std::string& key, const std::string& value) {
      const store::ParsedKey parsed = store::ParseKey(key);
      if (std::holds_alternative<store::LeaderKeyName>(parsed)) {
        if (!leader_.empty() && !value.empty()) ++leaders_over_leaders_;
        leader_ = value;
      }
      if (std::holds_alternative<store::ShareKeyName>(parsed)) ++lendings_;
      const auto* member = std::get_if<store::MemberKeyName>(&parsed);
      if (member == nullptr) return;
      auto record = membership::ReadMember(value);
      if (!record || record->state != model::MemberState::kFailed) return;
      ++verdicts_;
      if (!judged_.insert({member->node, record->incarnation.session}).second) ++verdicts_twice_;
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

  void Write(const std::string& file, const std::string& text) {
    std::ofstream(folder_ + "/" + file) << text;
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
  std::string folder_;
  std::vector<std::string> files_;
  std::vector<std::unique_ptr<ControllerProcess>> processes_;
  std::vector<std::string> accepted_;
  bool submitted_all_ = false;
  std::string leader_;
  std::set<std::pair<std::string, uint64_t>> judged_;
  int verdicts_ = 0;
  int verdicts_twice_ = 0;
  int leaders_over_leaders_ = 0;
};

TEST_P(ProcessTest, StoppedContinuedAndKilledTheyRunEveryTaskOnceAtATimeAndLoseNone) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  StartAll();
  Run(Storm());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
  EXPECT_GT(verdicts(), 0) << "the storm was none";
  EXPECT_EQ(verdicts_twice(), 0);
  EXPECT_EQ(leaders_over_leaders(), 0) << "a leader's record was written over another's";
}

INSTANTIATE_TEST_SUITE_P(Seeds, ProcessTest, testing::Range(1, 4));

// Several of them place at a time, under heavy submission at all.
class BlocksProcessTest : public ProcessTest {
 public:
  static constexpr int kLimit = 8;

  BlocksProcessTest() {
    blocks_ = "blocks {\n  enabled = true\n}\n";
    cpus_max_ = kLimit;
    submit_pause_s_ = 0.05;
  }
  // Reads only what the fake workers run; each task takes one processor.
  void WatchPeak() {
    cloud_->WatchStarts([this](const model::TaskId& /*task*/) {
      peak_ = std::max(peak_, cloud_->RunningWithPrefix("run-") + 1);
    });
  }

 protected:
  int peak_ = 0;
};

TEST_P(BlocksProcessTest, StoppedContinuedAndKilledTheyKeepTheTeamsLimit) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  StartAll();
  WatchPeak();
  Run(Storm());
  std::printf("peak of concurrent processors: %d, limit: %d\n", peak_, kLimit);
  RecordProperty("peak", peak_);
  EXPECT_LE(peak_, kLimit);
  EXPECT_GE(peak_, kLimit / 2) << "hardly anything ran";
  EXPECT_GT(lendings_, 3) << "hardly anything was lent";
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
  EXPECT_GT(verdicts(), 0) << "the storm was none";
}

INSTANTIATE_TEST_SUITE_P(Seeds, BlocksProcessTest, testing::Range(1, 4));

}  // namespace
}  // namespace hallpier
