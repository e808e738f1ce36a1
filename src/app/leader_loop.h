// What only the leader does: rounds, commits, orders to workers; renting lies in CloudLoop.
#pragma once

#include <deque>
#include <functional>
#include <set>
#include <string>

#include "app/cloud_loop.h"
#include "app/leader_deps.h"
#include "fleet/roster.h"
#include "jobs/batch.h"
#include "net/http_client.h"
#include "plan/round.h"

namespace hallpier::app {

class LeaderLoop {
 public:
  explicit LeaderLoop(LeaderDeps deps);

  // Starts the duties of a term; they end with its scope.
  void Begin(rt::Scope& term);
  // A job's record has changed; the leader looks at it in the next round.
  void OnJobChanged(const std::string& id);
  // Something came that a round should look at: room, or the end of an awaited job.
  void OnChange();
  // Machines that are up and should report here.
  size_t ReportingMachines() const;
  // A worker's report, and what it is to be told.
  wire::HttpResponse OnCheckin(const wire::Report& report);

 private:
  // A warm copy may lag behind what the former leader wrote last. Until it has passed our own first
  // write, it must not be acted upon: what it lacks would be stopped, or forgotten, as unrecorded.
  // After a pause of the process it must be complete anew: a task may have been cancelled
  // meanwhile.
  bool CaughtUp() const;
  // What a machine is to be told, as far as the copy of the records allows it now.
  std::vector<wire::Order> OrdersFor(fleet::Machine& machine, bool direct);
  rt::Task<> RoundLoop(rt::Scope& term);
  rt::Task<> Round(rt::Scope& term);
  // What does not get written is decided anew: the records say what comes next.
  rt::Task<> Commit(rt::Scope& term, std::vector<jobs::Mutation> mutations);
  enum class Written {
    kYes,
    kNever,      // refused for what it holds
    kOvertaken,  // a guard did not hold, and the copy knows why
    kNotNow,     // not carried out, or overtaken by what could not be read
    kNoAnswer,   // carried out, or not, or to be carried out later
  };
  // Sends one transaction and takes in what came of it.
  rt::Task<Written> Write(rt::Scope& term, const jobs::Txn& txn, double patience_s);
  // Sends again what got no answer; false if it still has none.
  rt::Task<bool> ResolveUnanswered(rt::Scope& term);
  // A transaction was refused as malformed: something in it is too large, in all likelihood. What
  // was together goes alone from now on, and what was alone is not sent again unchanged.
  void OnTooLarge(const std::vector<wire::Write>& writes);
  bool Refused(const std::vector<wire::Write>& writes) const;
  jobs::BatchLimits Limits() const;
  double BackgroundIntervalS() const;
  void RecordFinals(const std::vector<wire::Write>& writes) const;
  // Adds a line for the log if the write makes a job final.
  void DescribeEnd(const wire::Write& w, std::vector<std::string>* lines) const;
  // Tells a worker its orders without waiting for its report; one command at a time.
  void SendCommands(rt::Scope& term, const std::string& machine);
  rt::Task<> SendCommandsLoop(rt::Scope& term, std::string machine);

  LeaderDeps deps_;
  fleet::Roster roster_;
  plan::Context context_;
  const size_t max_sends_;  // direct commands at a time
  net::HttpClient workers_;
  CloudLoop cloud_;
  rt::Scope* term_ = nullptr;
  rt::Event work_;
  bool work_waits_ = false;
  std::set<std::string> alone_;  // keys that go alone, since they were refused with others
  // By first key, what was refused alone: its keys and the sizes of their values.
  std::map<std::string, std::vector<std::pair<std::string, size_t>>> refused_;
  // Placements that got no answer and may be carried out at any time yet: until that is settled, no
  // quota and no zone can be reckoned with. Sent again, they either count or can never count, since
  // both copies have the same guards.
  std::deque<jobs::Txn> unanswered_;
  double last_background_at_ = 0;       // when the last transaction was sent that nobody waits for
  bool urgent_came_ = false;            // prod or urgent work that no round has seen yet
  std::set<std::string> sending_;       // machines with a direct command under way
  std::set<std::string> send_again_;    // and those that need one after it, or once there is room
  std::deque<std::string> send_queue_;  // of these, those that have none under way, oldest first
  uint64_t term_began_ = 0;
  double round_took_ = 0;
};

}  // namespace hallpier::app
