// Dispatchers and allocators of quota leases on a virtual clock: the real decisions, a network,
// processes, clocks, views and settings that a seed breaks. After each event the sum of all rates
// is checked. A seed always plays the same.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_QUOTA_SIMULATION_H_
#define MILLETHOLLOW_TESTS_SUPPORT_QUOTA_SIMULATION_H_

#include <chrono>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "quota/allocator.h"
#include "quota/lease_holder.h"
#include "support/quota_checker.h"
#include "support/quota_faults.h"

namespace millethollow::quota {

using membership::Random;

// What the network does to a message, as parts of all messages.
struct NetworkFaults {
  double lost = 0;
  double doubled = 0;
  double held = 0;  // arrive seconds late
};

struct SimulationOptions {
  std::size_t regions = 5;
  std::size_t dispatchers = 12;
  std::size_t allocators = 3;  // the first of the dispatchers, spread over the regions
  std::size_t tenants = 6;
  double within_region_s = 0.0005, between_regions_s = 0.03;  // mean delays of a message
  double most_held_s = 10;
  bool check = true;     // after each event
  bool measure = false;  // processor time
  // Bytes of a message on the wire; absent: bytes are not counted.
  std::function<std::size_t(const Message&)> size_of = {};
  LeaseTimings timings = {};
  PlantedFaults planted = {};
};

// Messages that a process sent to others.
struct Traffic {
  std::uint64_t messages = 0, bytes = 0;
};

class QuotaSimulation {
 public:
  struct Process {
    NodeId id = 0;
    std::size_t region = 0;
    double offset = 0, pace = 1;  // of its clock, which goes on while it is stopped
    ProcessIncarnation process_incarnation = 0;
    std::optional<LeaseHolder> holder;  // none: the process is not there
    std::unique_ptr<Allocator> allocator;
    std::optional<LeaseHolder> earlier;  // planted: one that goes on in the view before
    double stopped_until = -1;
    std::size_t settings = 0;  // version of the quotas
    std::uint64_t epoch = 0;   // of the view that it knows
    std::uint64_t timer = 0, ticks = 0;
    std::vector<double> demand;
    Traffic reports, grants;
    double holder_ns = 0, allocator_ns = 0;
  };

  QuotaSimulation(std::uint64_t seed, const SimulationOptions& options)
      : options_(options),
        random_(seed),
        processes_(options.dispatchers),
        tampering_(options.planted, options.timings),
        cut_(options.dispatchers, std::vector<bool>(options.dispatchers, false)),
        checker_(options.dispatchers, FirstQuotas(), options.timings.floor_fraction,
                 [this](std::size_t i, std::size_t tenant) { return RateOf(i, tenant); }) {
    for (std::size_t i = 0; i < size(); ++i) Prepare(i);
    views_.push_back({{}, std::vector<ProcessIncarnation>(size(), 0), 0});
  }
  QuotaSimulation(const QuotaSimulation&) = delete;
  QuotaSimulation& operator=(const QuotaSimulation&) = delete;

  std::size_t size() const { return processes_.size(); }
  std::size_t tenants() const { return options_.tenants; }
  double now() const { return now_; }
  Random& random() { return random_; }
  const SimulationOptions& options() const { return options_; }
  const Process& process(std::size_t i) const { return processes_[i]; }
  const std::vector<std::string>& broken() const { return checker_.broken(); }
  const QuotaChecker& checker() const { return checker_; }
  bool up(std::size_t i) const { return processes_[i].holder.has_value(); }
  bool Runs(std::size_t i) const { return up(i) && processes_[i].stopped_until <= now_; }
  static TenantId IdOf(std::size_t tenant) { return membership::Mix(tenant + 1); }
  double quota(std::size_t tenant) const { return quotas_.back()[tenant]; }
  double demand(std::size_t i, std::size_t tenant) const { return processes_[i].demand[tenant]; }

  // What the process would admit of the tenant now; a stopped one: if it went on now.
  double RateOf(std::size_t i, std::size_t tenant) const {
    const Process& process = processes_[i];
    if (!process.holder) return 0;
    const double local = Local(process);
    const double rate = process.holder->AdmissibleRate(local, tenant);
    if (!process.earlier) return rate;
    return std::max(rate, process.earlier->AdmissibleRate(local, tenant));
  }

  // Processes.
  void Start(std::size_t i) {
    Process& process = processes_[i];
    if (process.holder) return;
    process.process_incarnation = random_.NextUint64() | 1;
    process.stopped_until = -1;
    process.epoch = 0;
    process.settings = quotas_.size() - 1;
    const std::vector<TenantQuota> quotas = TenantQuotas(process.settings);
    process.holder.emplace(process.process_incarnation, size(), quotas, options_.timings);
    if (i < options_.allocators) {
      process.allocator = std::make_unique<Allocator>(
          process.id, AllIds(), quotas, TimingsWith(options_.planted, options_.timings),
          Local(process));
    }
    checker_.InForce(now_, i, process.settings);
    for (std::size_t tenant = 0; tenant < tenants(); ++tenant) TellDemand(i, tenant);
    Arm(i, now_);
  }
  void StartAll() {
    for (std::size_t i = 0; i < size(); ++i) Start(i);
  }
  void Kill(std::size_t i) {
    Process& process = processes_[i];
    if (!process.holder) return;
    checker_.InForce(now_, i, QuotaChecker::kNone);
    process.holder.reset();
    process.earlier.reset();
    process.allocator.reset();
    process.process_incarnation = 0;
    process.timer += 1;
  }
  void Stop(std::size_t i, double seconds) {
    processes_[i].stopped_until = std::max(processes_[i].stopped_until, now_ + seconds);
  }
  void Continue(std::size_t i) { processes_[i].stopped_until = now_; }

  // Network.
  void SetNetwork(const NetworkFaults& faults) { network_ = faults; }
  void Cut(std::size_t from, std::size_t to) { cut_[from][to] = true; }
  // Messages from processes with `from` to those with `to` are lost.
  template <typename From, typename To>
  void CutWhere(From from, To to) {
    for (std::size_t a = 0; a < size(); ++a) {
      for (std::size_t b = 0; b < size(); ++b) {
        if (from(a) && to(b)) cut_[a][b] = true;
      }
    }
  }
  void Heal() {
    for (auto& row : cut_) row.assign(row.size(), false);
  }

  // A new view with these processes as members, in the lives that they have now; `allocates` tells
  // which of the allocators among them allocate. A process learns it `delay_of` it later, or when
  // it goes on.
  template <typename Member, typename Allocates, typename DelayOf>
  void ProposeViewKnownAfter(Member member, Allocates allocates, DelayOf delay_of) {
    AllocatorView view{.epoch = views_.size(), .allocators = {}};
    std::vector<ProcessIncarnation> lives(size(), 0);
    for (std::size_t i = 0; i < size(); ++i) {
      if (!up(i) || !member(i)) continue;
      lives[i] = processes_[i].process_incarnation;
      if (i >= options_.allocators || !allocates(i)) continue;
      view.allocators.push_back({processes_[i].id, processes_[i].process_incarnation});
    }
    views_.push_back({std::move(view), std::move(lives), now_});
    for (std::size_t i = 0; i < size(); ++i) {
      At(now_ + delay_of(i), i, [this, i, epoch = views_.size() - 1] { LearnView(i, epoch); });
    }
  }
  // One process knows it at once, the others learn it within `slowest_s`.
  template <typename Member, typename Allocates>
  void ProposeView(Member member, Allocates allocates, double slowest_s) {
    const std::size_t first = random_.Below(size());
    ProposeViewKnownAfter(member, allocates, [&](std::size_t i) {
      return i == first ? 0 : slowest_s * std::pow(random_.Unit(), 3);
    });
  }
  // All that are there, known everywhere within `slowest_s`.
  void ProposeWholeView(double slowest_s) {
    const auto everyone = [](std::size_t) { return true; };
    ProposeView(everyone, everyone, slowest_s);
  }
  // A process may act as an allocator while it is in the view that it knows, and that view is the
  // newest or the next one has been known anywhere for no more than superseded_grant_s.
  bool MayAct(std::size_t i) const {
    const Process& process = processes_[i];
    const AllocatorView& view = views_[process.epoch].view;
    const AllocatorMember self{process.id, process.process_incarnation};
    if (std::find(view.allocators.begin(), view.allocators.end(), self) == view.allocators.end()) {
      return false;
    }
    if (process.epoch + 1 == views_.size()) return true;
    return now_ <= views_[process.epoch + 1].proposed_at + options_.timings.superseded_grant_s;
  }

  // Settings, which processes learn within `slowest_s`.
  void SetQuotas(std::vector<double> quotas, double slowest_s) {
    checker_.AddVersion(quotas);
    quotas_.push_back(std::move(quotas));
    for (std::size_t i = 0; i < size(); ++i) {
      At(now_ + slowest_s * random_.Unit(), i,
         [this, i, version = quotas_.size() - 1] { LearnQuotas(i, version); });
    }
  }
  const std::vector<double>& quotas() const { return quotas_.back(); }

  // Demand for the tenant that comes in at a process, running or not.
  void SetDemand(std::size_t i, std::size_t tenant, double demand) {
    processes_[i].demand[tenant] = demand;
    At(now_, i, [this, i, tenant] { TellDemand(i, tenant); });
  }

  void RunUntil(double until) {
    while (!queue_.empty() && queue_.top().at <= until && broken().empty()) Step();
    if (broken().empty()) now_ = std::max(now_, until);
    if (options_.check && broken().empty()) checker_.CheckAll(now_);
  }

  // Called when a holder's rate of a tenant may have changed.
  std::function<void(std::size_t i)> on_grant = [](std::size_t) {};

 private:
  struct ProposedView {
    AllocatorView view;
    std::vector<ProcessIncarnation> lives;  // of the members, by process; 0: it is no member
    double proposed_at = 0;
  };
  struct Event {
    double at = 0;
    std::uint64_t order = 0;
    std::size_t process = 0;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  // Between two turns of one process's timer.
  static constexpr double kTimerSeconds = 0.001;
  // Each clock's pace differs from the true time's by at most this share: just below 1%.
  static constexpr double kPaceSpread = 0.0099;

  void Prepare(std::size_t i) {
    Process& process = processes_[i];
    process.id = i + 1;
    process.region = i % options_.regions;
    process.offset = 1000 * random_.Unit();
    process.pace = PickPace();
    process.demand.assign(tenants(), 0);
  }
  // The ends of the range are as frequent as all between them: there the margins are thinnest.
  double PickPace() {
    switch (random_.Below(4)) {
      case 0:
        return 1 - kPaceSpread;
      case 1:
        return 1 + kPaceSpread;
      default:
        return 1 + kPaceSpread * (2 * random_.Unit() - 1);
    }
  }
  std::vector<double> FirstQuotas() {
    std::vector<double> quotas;
    for (std::size_t tenant = 0; tenant < options_.tenants; ++tenant) {
      quotas.push_back(std::floor(std::pow(10, 1 + 2.5 * random_.Unit())));
    }
    quotas_.push_back(quotas);
    return quotas;
  }
  std::vector<TenantQuota> TenantQuotas(std::size_t version) const {
    std::vector<TenantQuota> all;
    for (std::size_t tenant = 0; tenant < tenants(); ++tenant) {
      all.push_back({IdOf(tenant), quotas_[version][tenant]});
    }
    return all;
  }
  std::vector<NodeId> AllIds() const {
    std::vector<NodeId> ids;
    for (const Process& process : processes_) ids.push_back(process.id);
    return ids;
  }
  double Local(const Process& process) const { return process.offset + process.pace * now_; }

  // Done by the process that is there then, once it is not stopped.
  void At(double at, std::size_t i, std::function<void()> what) {
    queue_.push({at, ++order_, i, std::move(what)});
  }
  void Step() {
    Event event = queue_.top();
    queue_.pop();
    now_ = std::max(now_, event.at);
    const Process& process = processes_[event.process];
    if (!process.holder) return;
    if (process.stopped_until > now_) {
      return At(process.stopped_until, event.process, std::move(event.what));
    }
    event.what();
    if (options_.check) checker_.Check(now_, event.process);
  }

  void Arm(std::size_t i, double earliest) {
    Process& process = processes_[i];
    double local = process.holder->NextTickAt();
    if (process.earlier) local = std::min(local, process.earlier->NextTickAt());
    if (process.allocator) local = std::min(local, process.allocator->NextTickAt());
    const double at = (local - process.offset) / process.pace + 1e-9;  // not just before
    if (!std::isfinite(at)) {
      process.timer += 1;
      return;
    }
    At(std::max(at, earliest), i, [this, i, mark = ++process.timer] {
      if (mark == processes_[i].timer) Tick(i);
    });
  }
  void Tick(std::size_t i) {
    Process& process = processes_[i];
    process.ticks += 1;
    Actions actions;
    const double local = Local(process);
    const bool may_act = process.allocator && MayAct(i);
    Measured(&process.holder_ns, [&] { process.holder->Tick(local, &actions); });
    if (process.earlier) process.earlier->Tick(local, &actions);
    if (process.allocator) {
      Measured(&process.allocator_ns, [&] { process.allocator->Tick(local, may_act, &actions); });
    }
    for (auto& [to, message] : actions.send) Send(i, to, std::move(message));
    Arm(i, now_ + kTimerSeconds);
  }

  void LearnView(std::size_t i, std::uint64_t epoch) {
    Process& process = processes_[i];
    const AllocatorView& view = views_[epoch].view;
    // A process that is in no view yet waits for the first that names its life.
    if (process.epoch == 0 && views_[epoch].lives[i] != process.process_incarnation) return;
    if (epoch > process.epoch) {
      if (options_.planted.old_epoch_taken && process.epoch > 0) process.earlier = *process.holder;
      process.epoch = epoch;
      if (process.allocator) process.allocator->SetView(Local(process), view);
    }
    process.holder->SetView(Local(process), view);
    Arm(i, now_);
  }
  void LearnQuotas(std::size_t i, std::size_t version) {
    Process& process = processes_[i];
    if (version <= process.settings) return;
    process.settings = version;
    const std::vector<TenantQuota> quotas = TenantQuotas(version);
    process.holder->SetQuotas(Local(process), quotas);
    if (process.earlier) process.earlier->SetQuotas(Local(process), quotas);
    if (process.allocator) process.allocator->SetQuotas(Local(process), quotas);
    checker_.InForce(now_, i, version);
    Arm(i, now_);
  }
  void TellDemand(std::size_t i, std::size_t tenant) {
    Process& process = processes_[i];
    const double demand = process.demand[tenant];
    Measured(&process.holder_ns,
             [&] { process.holder->SetDemand(Local(process), tenant, demand); });
    if (process.earlier) process.earlier->SetDemand(Local(process), tenant, demand);
    Arm(i, now_);
  }

  void Send(std::size_t from, NodeId to, Message message) {
    Process& process = processes_[from];
    const std::size_t target = to - 1;
    const auto* grant = std::get_if<Grant>(&message);
    if (from != target) Count(grant == nullptr ? &process.reports : &process.grants, message);
    if (grant != nullptr) tampering_.OnSend(process.id, to, *grant);
    const auto shared = std::make_shared<const Message>(std::move(message));
    Carry(from, target,
          [this, target, from_id = process.id, process_incarnation = process.process_incarnation,
           shared] { Arrive(target, from_id, process_incarnation, *shared); });
  }
  void Count(Traffic* traffic, const Message& message) const {
    traffic->messages += 1;
    if (options_.size_of) traffic->bytes += options_.size_of(message);
  }
  // By the network; to itself a process speaks without it.
  void Carry(std::size_t from, std::size_t to, const std::function<void()>& what) {
    if (from == to) return At(now_, to, what);
    if (cut_[from][to]) return;
    const int copies = random_.Unit() < network_.doubled ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (random_.Unit() < network_.lost) continue;
      const bool within = processes_[from].region == processes_[to].region;
      const double mean = within ? options_.within_region_s : options_.between_regions_s;
      double delay = mean * (0.5 + random_.Unit());
      if (copy > 0 || random_.Unit() < network_.held)
        delay += options_.most_held_s * random_.Unit();
      At(now_ + delay, to, what);
    }
  }
  void Arrive(std::size_t i, NodeId from, ProcessIncarnation process_incarnation,
              const Message& message) {
    Process& process = processes_[i];
    if (const auto* report = std::get_if<UsageReport>(&message)) {
      if (!process.allocator) return;
      UsageReport tampered = *report;
      tampering_.OnArrival(from, process.id, &tampered);
      Measured(&process.allocator_ns, [&] {
        process.allocator->OnUsageReport(Local(process), from, process_incarnation, tampered);
      });
    } else {
      Grant tampered = std::get<Grant>(message);
      tampering_.OnArrival(from, process.id, &tampered);
      HearGrant(i, from, tampered);
    }
    Arm(i, now_);
  }
  void HearGrant(std::size_t i, NodeId from, const Grant& grant) {
    Process& process = processes_[i];
    if (process.earlier && grant.epoch < process.holder->epoch()) {
      process.earlier->OnGrant(Local(process), from, grant);
      return;
    }
    Measured(&process.holder_ns, [&] { process.holder->OnGrant(Local(process), from, grant); });
    on_grant(i);
  }

  template <typename What>
  void Measured(double* ns, What what) {
    if (!options_.measure) return what();
    const auto begin = std::chrono::steady_clock::now();
    what();
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
    *ns += spent.count();
  }

  SimulationOptions options_;
  Random random_;
  double now_ = 0;
  std::vector<Process> processes_;
  std::vector<std::vector<double>> quotas_;  // by version of the settings
  std::vector<ProposedView> views_;          // by epoch
  NetworkFaults network_;
  Tampering tampering_;
  std::vector<std::vector<bool>> cut_;
  std::priority_queue<Event> queue_;
  std::uint64_t order_ = 0;
  QuotaChecker checker_;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_TESTS_SUPPORT_QUOTA_SIMULATION_H_
