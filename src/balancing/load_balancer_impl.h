// The decision module's one class: what it keeps and what it does. No decision stands here; they
// are in src/policy/, a file for each part.
#ifndef MILLETHOLLOW_BALANCING_LOAD_BALANCER_IMPL_H_
#define MILLETHOLLOW_BALANCING_LOAD_BALANCER_IMPL_H_

#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancing/agreed_share.h"
#include "balancing/constants.h"
#include "balancing/state.h"
#include "balancing/support.h"
#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

class LoadBalancerImpl {
 public:
  LoadBalancerImpl(const Settings& settings, std::uint64_t seed);

  void Handle(double now, const Event& event, Actions* actions) {
    now_ = std::max(now, now_);
    actions_ = actions;
    std::visit([this](const auto& e) { On(e); }, event);
  }

  bool Excludes(std::string_view worker) const {
    const auto it = index_.find(worker);
    return it == index_.end() || !workers_[Idx(it->second)].ready ||
           workers_[Idx(it->second)].ejected;
  }

  void SetCapacityReservations(CapacityReservations* room) { room_keeper_ = room; }
  std::uint64_t version() const { return version_; }
  std::uint64_t refused_messages() const { return refused_messages_; }
  std::vector<WorkerView> Views() const;
  double DemandShare() const;
  void SetFleetShare(const FleetShare& parts);

 private:
  friend struct Carry;  // hands what was learned to the process that replaces this one

  // Buckets and quotas.
  void On(const RequestArrived& e);
  // By class first: classes may be added while the program runs.
  std::size_t BucketOf(const Job& job) const { return Idx(job.cls * tenants_ + job.tenant); }
  static double Depth(const Bucket& b);
  void Decline(const Job& job);

  // Peer reports.
  UsageReport ReportOf(bool fresh, bool to_mate) const;
  void TellPeers(const std::vector<int>& whom, bool fresh, std::vector<UsageReport::Usage> counts);
  void TellMate();
  void Take(int sender, const UsageReport& report);
  void Report();
  void On(const PeerMessage& e);
  static std::uint16_t Tag(const Worker& w) { return static_cast<std::uint16_t>(w.hash); }
  void SumOthers() {
    peers_.SumOut(&workers_, now_ - kStaleReports * interval_);
    ++version_;
  }
  void On(const SiblingProcess& e);

  // Fleet rate.
  void Control(double span);
  std::vector<double> Fleet();  // what the tier reports in all
  // Sends that a warm worker carries, where `mine` are this dispatcher's own.
  double Carried(double mine);
  const ClassSettings& ClassOf(int c) const { return s_.classes[Idx(c)]; }

  // Where the row has what all learn together in a large tier.
  std::size_t AskedAt() const { return layout_.AskedAt(); }
  std::size_t LoreOf(int cls, int kind) const {
    return kind < 0 ? layout_.ClassAt(Idx(cls)) : layout_.KindAt(Idx(kind));
  }
  // The share of workers that have room, as the whole tier finds it.
  double Found(double unasked) const {
    const double asked = direct_ ? 0.0 : mean_[AskedAt()];
    return asked > 0 ? mean_[AskedAt() + 1] / asked : unasked;
  }
  void LearnFromPeers(const UsageReport& told);

  // Placement.
  int zones() const { return std::max(1, s_.zones); }
  std::size_t GroupOf(const Worker& w) const { return Idx(w.kind * zones() + w.zone); }
  const std::vector<int>& Pool(int kind, int zone) const { return pools_.Of(kind, zone); }
  void RemakePools();
  double ExpectedRun(const Job& job) const;
  double PaceOf(const Worker& w) const;
  double AimOf(const Job& job) const;
  double SlotsOf(const Worker& w) const {
    return w.told_slots > 0 ? w.told_slots : kind_slots_[Idx(w.kind)];
  }
  bool Allowed(const Job& job, int index, int anchor) const;
  std::pair<double, bool> Outlook(const Job& job, const Worker& w) const;
  double Score(const Job& job, const Worker& w, int home_rank) const;
  double KeyPull() const;
  int Draw(const std::vector<int>& from);
  double Power(const Worker& w) const;
  void Weigh();
  int ProbesFor(const Job& job);
  bool AskAround(Job& job);
  int Pick(const Job& job, int anchor);
  const std::vector<int>& HomesOf(std::uint64_t key, int kind);

  // Worker health and cold budget.
  bool Cold(const Worker& w) const;
  double ColdPart(const Worker& w) const;
  bool ColdRoom(const Worker& w) const;
  double ColdHeld(const Worker& w) const;
  double ColdCost(const Job& job) const;
  void DrawCold(Job& job);
  double& Room(const Worker& w);
  void Eject(int index);
  void LetBack();
  void TakeReport(Worker& w, const double (&report)[4]);
  void LearnWait(Worker& w, double wait);
  double WaitOf(const Worker& w) const;
  void LearnPace(const Job& job, const Attempt& a, Worker& w);
  void Blocked(Job& job, Attempt& a, bool full, bool late);

  // Attempts and final answers.
  bool Place(Job& job);
  void WatchAt(double at, const std::string& id, int attempt);
  bool PutOnHold(Job& job);
  void On(const CapacityFound& e);
  void Settle(Job& job);
  Attempt* Find(std::string_view id, int attempt, Job** job);
  void On(const AttemptEnded& e);
  void CancelOpen(const Job& job, bool only_waiting);
  void On(const RequestCancelled& e);
  void On(const StreamStarted& e) { Begun(e.id, e.attempt); }
  void On(const AttemptProgress& e) { Begun(e.id, e.attempt); }
  void Begun(std::string_view id, int attempt);
  void On(const ProbeAnswered& e);
  void Answered(std::string_view id);
  bool Hopeless(const Job& job, const Worker& w, double age) const;
  void Overdue(const Watch& watch);
  void Waited(const Watch& watch);

  // Discovery and timers.
  void On(const DispatcherStarted&);
  void Ask();
  void AskIn(double span);
  void On(const TimerFired& e);
  void On(const EndpointsUpdated& e);
  int SlotFor(const std::string& name, std::vector<char>* listed);
  void Fit();
  void On(const SettingsChanged& e);
  void StartAfresh(Worker& w);
  void On(const MaintenanceChanged& e);

  Settings s_;
  Random random_;
  double now_ = 0;
  Actions* actions_ = nullptr;
  int classes_ = 1, tenants_ = 1;
  // Buckets and refusals.
  std::vector<Bucket> buckets_;
  RecentPrints refused_;
  // Reports: `own_` and, in a large tier, `mean_` are rows as `layout_` has them.
  RowLayout layout_;
  bool direct_ = true, measured_ = false, heard_peers_ = false;
  double interval_ = kReportS, reported_at_ = 0, sends_ = 0, fulls_ = 0, lates_ = 0;
  std::vector<double> own_, mean_;
  PeerTable peers_;
  std::uint64_t refused_messages_ = 0;
  SiblingProcess mate_;
  AgreedShare agreed_;
  double all_sends_ = 0;  // of those heard, as of the last report
  // Fleet rate.
  double rate_ = kInf, next_cut_ = 0;
  // Workers.
  std::vector<Worker> workers_;
  TextMap<int> index_;
  Pools pools_;
  CapacityReservations* room_keeper_ = nullptr;
  std::uint64_t version_ = 0;  // of all that Views tells
  int ready_ = 0, ejected_ = 0;
  double mean_limit_ = 1, carried_ = 0, most_power_ = 1, mean_power_ = 1;
  std::uint64_t pool_version_ = 0, homes_version_ = 0;
  std::unordered_map<std::uint64_t, std::vector<int>> homes_;
  std::vector<std::pair<std::uint64_t, int>> ranked_;  // HomesOf's, kept for its capacity
  std::vector<Mean> run_, kind_pace_;
  std::vector<double> kind_slots_;  // what a kind holds: the second most free slots told
  std::vector<std::pair<double, std::ptrdiff_t>> kind_most_;  // the most, and by whom
  std::vector<double> wait_, room_;  // by kind and zone: wait for a start, share that goes well
  Mean memory_;                      // of a job, for each of its slots
  int lore_classes_ = 0;
  double asked_ = 0, roomy_ = 0;  // first ones asked for a job, and those with a free slot
  Mean all_run_, prompt_;         // prompt_: slots told free where a job started at once
  std::vector<LogFit> hinted_;    // by class: time taken by a job's hint
  Mean warm_,
      cold_;  // pace at a worker, relative to its own, where a job's key was sent last or not
  // Jobs.
  TextMap<Job> jobs_;
  std::priority_queue<Watch, std::vector<Watch>, std::greater<>> watch_;
  std::vector<std::string> asking_;  // jobs that wait for probed workers
  std::uint64_t order_ = 0;
  double hedges_ = 0, copies_ = 0, drops_ = 0;  // rights to copies, and to calling off
  bool sheds_ = false, blind_ = false;          // load is never told, only starts are
  bool full_ = false, watching_ = false, subscribed_ = false;
  double ask_at_ = kInf;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_LOAD_BALANCER_IMPL_H_
