// A simulated cluster with quota leases on a virtual clock: real lease holders and allocators, with
// faults of network, processes, clocks, views and settings. After each event the sum of all rates
// is checked. The same seed always gives the same run. Times are seconds of the virtual clock.
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

// Fractions of the messages that suffer each fault.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  double delayed = 0;  // by up to max_extra_delay_s
};

struct SimulationOptions {
  std::size_t regions = 5;
  std::size_t dispatchers = 12;
  std::size_t allocators = 3;  // the first of the dispatchers, spread over the regions
  std::size_t tenants = 6;
  double within_region_s = 0.0005, between_regions_s = 0.03;  // mean delays of a message
  double max_extra_delay_s = 10;
  bool check_invariants = true;  // after each event
  bool measure_time = false;     // of holders and allocators, on the real clock
  // Bytes of a message on the wire; absent: bytes are not counted.
  std::function<std::size_t(const Message&)> message_size = {};
  LeaseTimings timings = {};
  InjectedFaults injected_faults = {};
};

// Messages that a process sent to others.
struct Traffic {
  std::uint64_t messages = 0, bytes = 0;
};

// The simulated cluster. Process `i` has node id `i` + 1.
class QuotaSimulation {
 public:
  struct Process {
    NodeId id = 0;
    std::size_t region = 0;
    double clock_offset_s = 0, clock_rate = 1;  // its clock runs on while the process is paused
    ProcessIncarnation process_incarnation = 0;
    std::optional<LeaseHolder> holder;             // absent: the process does not run
    std::unique_ptr<Allocator> allocator;          // null: it is no allocator
    std::optional<LeaseHolder> superseded_holder;  // an injected fault: it stays in an earlier view
    double paused_until = -1;
    std::size_t quota_version = 0;  // of the quotas that it has
    std::uint64_t epoch = 0;        // of the view that it knows
    // timer_generation is raised to cancel the scheduled tick.
    std::uint64_t timer_generation = 0, ticks = 0;
    std::vector<double> demand;  // requests per second, by tenant
    Traffic reports, grants;
    double holder_ns = 0, allocator_ns = 0;  // real time spent, if measured
  };

  QuotaSimulation(std::uint64_t seed, const SimulationOptions& options)
      : options_(options),
        random_(seed),
        processes_(options.dispatchers),
        tampering_(options.injected_faults, options.timings),
        link_cut_(options.dispatchers, std::vector<bool>(options.dispatchers, false)),
        checker_(options.dispatchers, InitialQuotas(), options.timings.floor_fraction,
                 [this](std::size_t i, std::size_t tenant) { return RateOf(i, tenant); }) {
    for (std::size_t i = 0; i < size(); ++i) InitializeProcess(i);
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
  const std::vector<std::string>& violations() const { return checker_.violations(); }
  const QuotaChecker& checker() const { return checker_; }
  bool up(std::size_t i) const { return processes_[i].holder.has_value(); }
  bool IsRunning(std::size_t i) const { return up(i) && processes_[i].paused_until <= now_; }
  static TenantId IdOf(std::size_t tenant) { return membership::Mix(tenant + 1); }
  double quota(std::size_t tenant) const { return quotas_.back()[tenant]; }
  double demand(std::size_t i, std::size_t tenant) const { return processes_[i].demand[tenant]; }

  // The rate of the tenant that the process would admit now; a paused one, if it resumed now.
  double RateOf(std::size_t i, std::size_t tenant) const {
    const Process& process = processes_[i];
    if (!process.holder) return 0;
    const double local_time = LocalTime(process);
    const double rate = process.holder->AdmissibleRate(local_time, tenant);
    if (!process.superseded_holder) return rate;
    return std::max(rate, process.superseded_holder->AdmissibleRate(local_time, tenant));
  }

  // Processes.
  void Start(std::size_t i) {
    Process& process = processes_[i];
    if (process.holder) return;
    process.process_incarnation = random_.NextUint64() | 1;
    process.paused_until = -1;
    process.epoch = 0;
    process.quota_version = quotas_.size() - 1;
    const std::vector<TenantQuota> quotas = TenantQuotas(process.quota_version);
    process.holder.emplace(process.process_incarnation, size(), quotas, options_.timings);
    if (i < options_.allocators) {
      process.allocator = std::make_unique<Allocator>(
          process.id, AllIds(), quotas, TimingsWith(options_.injected_faults, options_.timings),
          LocalTime(process));
    }
    checker_.SetVersion(now_, i, process.quota_version);
    for (std::size_t tenant = 0; tenant < tenants(); ++tenant) ApplyDemand(i, tenant);
    ScheduleTick(i, now_);
  }
  void StartAll() {
    for (std::size_t i = 0; i < size(); ++i) Start(i);
  }
  void Kill(std::size_t i) {
    Process& process = processes_[i];
    if (!process.holder) return;
    checker_.SetVersion(now_, i, QuotaChecker::kNoVersion);
    process.holder.reset();
    process.superseded_holder.reset();
    process.allocator.reset();
    process.process_incarnation = 0;
    process.timer_generation += 1;
  }
  void Pause(std::size_t i, double seconds) {
    processes_[i].paused_until = std::max(processes_[i].paused_until, now_ + seconds);
  }
  void Resume(std::size_t i) { processes_[i].paused_until = now_; }

  // Network.
  void SetNetwork(const NetworkFaults& faults) { network_ = faults; }
  void CutLink(std::size_t from, std::size_t to) { link_cut_[from][to] = true; }
  // Cuts the links from the processes for which from(i) to those for which to(i).
  template <typename From, typename To>
  void CutLinks(From from, To to) {
    for (std::size_t a = 0; a < size(); ++a) {
      for (std::size_t b = 0; b < size(); ++b) {
        if (from(a) && to(b)) link_cut_[a][b] = true;
      }
    }
  }
  void Heal() {
    for (auto& row : link_cut_) row.assign(row.size(), false);
  }

  // Proposes a new view. Its members are the running processes for which member(i); of the
  // allocators among them, those for which allocates(i) get tenants. Process i learns it after
  // delay_of(i) seconds, or when it resumes.
  template <typename Member, typename Allocates, typename DelayOf>
  void ProposeViewKnownAfter(Member member, Allocates allocates, DelayOf delay_of) {
    AllocatorView view{.epoch = views_.size(), .allocators = {}};
    std::vector<ProcessIncarnation> incarnations(size(), 0);
    for (std::size_t i = 0; i < size(); ++i) {
      if (!up(i) || !member(i)) continue;
      incarnations[i] = processes_[i].process_incarnation;
      if (i >= options_.allocators || !allocates(i)) continue;
      view.allocators.push_back({processes_[i].id, processes_[i].process_incarnation});
    }
    views_.push_back({std::move(view), std::move(incarnations), now_});
    for (std::size_t i = 0; i < size(); ++i) {
      Schedule(now_ + delay_of(i), i,
               [this, i, epoch = views_.size() - 1] { LearnView(i, epoch); });
    }
  }
  // The same with random delays up to max_delay_s; one process learns the view at once.
  template <typename Member, typename Allocates>
  void ProposeView(Member member, Allocates allocates, double max_delay_s) {
    const std::size_t first = random_.Below(size());
    ProposeViewKnownAfter(member, allocates, [&](std::size_t i) {
      return i == first ? 0 : max_delay_s * std::pow(random_.Unit(), 3);
    });
  }
  // The same with all running processes.
  void ProposeFullView(double max_delay_s) {
    const auto everyone = [](std::size_t) { return true; };
    ProposeView(everyone, everyone, max_delay_s);
  }
  // A process may act as an allocator while it is in the view that it knows, and that view is the
  // newest or the next one was proposed no more than superseded_grant_s ago.
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

  // Changes the quotas in the settings. Each process learns them after a random delay up to
  // max_delay_s.
  void SetQuotas(std::vector<double> quotas, double max_delay_s) {
    checker_.AddVersion(quotas);
    quotas_.push_back(std::move(quotas));
    for (std::size_t i = 0; i < size(); ++i) {
      Schedule(now_ + max_delay_s * random_.Unit(), i,
               [this, i, version = quotas_.size() - 1] { LearnQuotas(i, version); });
    }
  }
  const std::vector<double>& quotas() const { return quotas_.back(); }

  // Sets the demand for the tenant, in requests per second, at a process, running or not.
  void SetDemand(std::size_t i, std::size_t tenant, double demand) {
    processes_[i].demand[tenant] = demand;
    Schedule(now_, i, [this, i, tenant] { ApplyDemand(i, tenant); });
  }

  // Runs until this time, or until the first violation.
  void RunUntil(double until) {
    while (!queue_.empty() && queue_.top().at <= until && violations().empty()) Step();
    if (violations().empty()) now_ = std::max(now_, until);
    if (options_.check_invariants && violations().empty()) checker_.CheckAll(now_);
  }

  // Called after a grant has arrived at process i.
  std::function<void(std::size_t i)> on_grant = [](std::size_t) {};

 private:
  struct ProposedView {
    AllocatorView view;
    std::vector<ProcessIncarnation> incarnations;  // of the members, by process; 0: not a member
    double proposed_at = 0;
  };
  struct Event {
    double at = 0;
    std::uint64_t sequence = 0;
    std::size_t process = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  // Between two ticks of a process.
  static constexpr double kMinTickIntervalSeconds = 0.001;
  // Maximum relative deviation of a process's clock: just below LeaseTimings::max_clock_drift.
  static constexpr double kMaxClockDrift = 0.0099;

  void InitializeProcess(std::size_t i) {
    Process& process = processes_[i];
    process.id = i + 1;
    process.region = i % options_.regions;
    process.clock_offset_s = 1000 * random_.Unit();
    process.clock_rate = RandomClockRate();
    process.demand.assign(tenants(), 0);
  }
  // The ends of the range, where the safety margins are smallest, are as likely as all other
  // values.
  double RandomClockRate() {
    switch (random_.Below(4)) {
      case 0:
        return 1 - kMaxClockDrift;
      case 1:
        return 1 + kMaxClockDrift;
      default:
        return 1 + kMaxClockDrift * (2 * random_.Unit() - 1);
    }
  }
  std::vector<double> InitialQuotas() {
    std::vector<double> quotas;
    for (std::size_t tenant = 0; tenant < options_.tenants; ++tenant) {
      quotas.push_back(std::floor(std::pow(10, 1 + 2.5 * random_.Unit())));
    }
    quotas_.push_back(quotas);
    return quotas;
  }
  std::vector<TenantQuota> TenantQuotas(std::size_t version) const {
    std::vector<TenantQuota> tenant_quotas;
    for (std::size_t tenant = 0; tenant < tenants(); ++tenant) {
      tenant_quotas.push_back({IdOf(tenant), quotas_[version][tenant]});
    }
    return tenant_quotas;
  }
  std::vector<NodeId> AllIds() const {
    std::vector<NodeId> ids;
    for (const Process& process : processes_) ids.push_back(process.id);
    return ids;
  }
  double LocalTime(const Process& process) const {
    return process.clock_offset_s + process.clock_rate * now_;
  }

  // Schedules an event of the process that runs then. A pause delays it.
  void Schedule(double at, std::size_t i, std::function<void()> action) {
    queue_.push({at, ++last_sequence_, i, std::move(action)});
  }
  void Step() {
    Event event = queue_.top();
    queue_.pop();
    now_ = std::max(now_, event.at);
    const Process& process = processes_[event.process];
    if (!process.holder) return;
    if (process.paused_until > now_) {
      return Schedule(process.paused_until, event.process, std::move(event.action));
    }
    event.action();
    if (options_.check_invariants) checker_.Check(now_, event.process);
  }

  void ScheduleTick(std::size_t i, double earliest) {
    Process& process = processes_[i];
    double local_time = process.holder->NextTickAt();
    if (process.superseded_holder)
      local_time = std::min(local_time, process.superseded_holder->NextTickAt());
    if (process.allocator) local_time = std::min(local_time, process.allocator->NextTickAt());
    const double at = (local_time - process.clock_offset_s) / process.clock_rate +
                      1e-9;  // rounding must not make it early
    if (!std::isfinite(at)) {
      process.timer_generation += 1;
      return;
    }
    Schedule(std::max(at, earliest), i, [this, i, generation = ++process.timer_generation] {
      if (generation == processes_[i].timer_generation) Tick(i);
    });
  }
  void Tick(std::size_t i) {
    Process& process = processes_[i];
    process.ticks += 1;
    Actions actions;
    const double local_time = LocalTime(process);
    const bool may_act = process.allocator && MayAct(i);
    MeasureTime(&process.holder_ns, [&] { process.holder->Tick(local_time, &actions); });
    if (process.superseded_holder) process.superseded_holder->Tick(local_time, &actions);
    if (process.allocator) {
      MeasureTime(&process.allocator_ns,
                  [&] { process.allocator->Tick(local_time, may_act, &actions); });
    }
    for (auto& [to, message] : actions.send) Send(i, to, std::move(message));
    ScheduleTick(i, now_ + kMinTickIntervalSeconds);
  }

  void LearnView(std::size_t i, std::uint64_t epoch) {
    Process& process = processes_[i];
    const AllocatorView& view = views_[epoch].view;
    // A process that is in no view yet waits for the first view with its process incarnation.
    if (process.epoch == 0 && views_[epoch].incarnations[i] != process.process_incarnation) return;
    if (epoch > process.epoch) {
      if (options_.injected_faults.old_epoch_accepted && process.epoch > 0)
        process.superseded_holder = *process.holder;
      process.epoch = epoch;
      if (process.allocator) process.allocator->SetView(LocalTime(process), view);
    }
    process.holder->SetView(LocalTime(process), view);
    ScheduleTick(i, now_);
  }
  void LearnQuotas(std::size_t i, std::size_t version) {
    Process& process = processes_[i];
    if (version <= process.quota_version) return;
    process.quota_version = version;
    const std::vector<TenantQuota> quotas = TenantQuotas(version);
    process.holder->SetQuotas(LocalTime(process), quotas);
    if (process.superseded_holder) process.superseded_holder->SetQuotas(LocalTime(process), quotas);
    if (process.allocator) process.allocator->SetQuotas(LocalTime(process), quotas);
    checker_.SetVersion(now_, i, version);
    ScheduleTick(i, now_);
  }
  void ApplyDemand(std::size_t i, std::size_t tenant) {
    Process& process = processes_[i];
    const double demand = process.demand[tenant];
    MeasureTime(&process.holder_ns,
                [&] { process.holder->SetDemand(LocalTime(process), tenant, demand); });
    if (process.superseded_holder)
      process.superseded_holder->SetDemand(LocalTime(process), tenant, demand);
    ScheduleTick(i, now_);
  }

  void Send(std::size_t from, NodeId to, Message message) {
    Process& process = processes_[from];
    const std::size_t target = to - 1;
    const auto* grant = std::get_if<Grant>(&message);
    if (from != target)
      CountTraffic(grant == nullptr ? &process.reports : &process.grants, message);
    if (grant != nullptr) tampering_.OnSend(process.id, to, *grant);
    const auto shared = std::make_shared<const Message>(std::move(message));
    Transmit(from, target,
             [this, target, from_id = process.id, process_incarnation = process.process_incarnation,
              shared] { Deliver(target, from_id, process_incarnation, *shared); });
  }
  void CountTraffic(Traffic* traffic, const Message& message) const {
    traffic->messages += 1;
    if (options_.message_size) traffic->bytes += options_.message_size(message);
  }
  // Transmits a message over the network, with delay, loss and duplication. Messages of a process
  // to itself bypass the network.
  void Transmit(std::size_t from, std::size_t to, const std::function<void()>& action) {
    if (from == to) return Schedule(now_, to, action);
    if (link_cut_[from][to]) return;
    const int deliveries = random_.Unit() < network_.duplication ? 2 : 1;
    for (int delivery = 0; delivery < deliveries; ++delivery) {
      if (random_.Unit() < network_.loss) continue;
      const bool same_region = processes_[from].region == processes_[to].region;
      const double mean_s = same_region ? options_.within_region_s : options_.between_regions_s;
      double delay_s = mean_s * (0.5 + random_.Unit());
      if (delivery > 0 || random_.Unit() < network_.delayed)
        delay_s += options_.max_extra_delay_s * random_.Unit();
      Schedule(now_ + delay_s, to, action);
    }
  }
  void Deliver(std::size_t i, NodeId from, ProcessIncarnation process_incarnation,
               const Message& message) {
    Process& process = processes_[i];
    if (const auto* report = std::get_if<UsageReport>(&message)) {
      if (!process.allocator) return;
      UsageReport tampered = *report;
      tampering_.OnArrival(from, process.id, &tampered);
      MeasureTime(&process.allocator_ns, [&] {
        process.allocator->OnUsageReport(LocalTime(process), from, process_incarnation, tampered);
      });
    } else {
      Grant tampered = std::get<Grant>(message);
      tampering_.OnArrival(from, process.id, &tampered);
      DeliverGrant(i, from, tampered);
    }
    ScheduleTick(i, now_);
  }
  void DeliverGrant(std::size_t i, NodeId from, const Grant& grant) {
    Process& process = processes_[i];
    if (process.superseded_holder && grant.epoch < process.holder->epoch()) {
      process.superseded_holder->OnGrant(LocalTime(process), from, grant);
      return;
    }
    MeasureTime(&process.holder_ns,
                [&] { process.holder->OnGrant(LocalTime(process), from, grant); });
    on_grant(i);
  }

  template <typename Call>
  void MeasureTime(double* ns, Call call) {
    if (!options_.measure_time) return call();
    const auto started = std::chrono::steady_clock::now();
    call();
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - started;
    *ns += elapsed.count();
  }

  SimulationOptions options_;
  Random random_;
  double now_ = 0;
  std::vector<Process> processes_;
  std::vector<std::vector<double>> quotas_;  // by version of the settings
  std::vector<ProposedView> views_;          // by epoch
  NetworkFaults network_;
  MessageTampering tampering_;
  std::vector<std::vector<bool>> link_cut_;
  std::priority_queue<Event> queue_;
  std::uint64_t last_sequence_ = 0;
  QuotaChecker checker_;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_TESTS_SUPPORT_QUOTA_SIMULATION_H_
