#include "scale/simulated_tier.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "scale/fixtures.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

constexpr double kWorkerDelayS = 0.0005, kPeerDelayS = 0.01;  // One-way network delay.
constexpr double kClientTimeoutS = 5;
constexpr std::uint64_t kReportTimer = 1;

}  // namespace

SimulatedTier::SimulatedTier(const Options& options)
    : options_(options),
      endpoints_(MakeEndpoints(options.workers)),
      free_slots_by_worker_(static_cast<std::size_t>(options.workers), kSlotsPerWorker),
      random_(options.seed),
      admitted_(static_cast<std::size_t>(options.tenants)),
      served_(static_cast<std::size_t>(options.tenants)) {
  balancing::Settings settings = MakeFleetSettings(options_.dispatcher_count, options_.tenants);
  for (std::size_t tenant = 0; tenant < options_.quotas_rps.size(); ++tenant) {
    settings.tenants[tenant].quota_rps = options_.quotas_rps[tenant];
  }
  balancers_.reserve(static_cast<std::size_t>(options_.dispatcher_count));
  for (int dispatcher = 0; dispatcher < options_.dispatcher_count; ++dispatcher) {
    settings.dispatcher_index = dispatcher;
    balancers_.emplace_back(settings,
                            options_.seed * 1000003 + static_cast<std::uint64_t>(dispatcher));
    Handle(dispatcher, balancing::DispatcherStarted{});
    Handle(dispatcher,
           balancing::EndpointsUpdated{balancing::EndpointListKind::kSnapshot, &endpoints_});
  }
  ResetCost();
}

void SimulatedTier::SetDemand(std::size_t source, const Demand& demand) {
  if (sources_.size() <= source) sources_.resize(source + 1);
  Source& changed = sources_[source];
  changed.demand = demand;
  changed.generation += 1;
  if (demand.jobs_per_s <= 0) return;
  Schedule(now_ + 1 / demand.jobs_per_s,
           [this, source, generation = changed.generation] { SubmitRequest(source, generation); });
}

void SimulatedTier::Run(double until_s) {
  while (!scheduled_calls_.empty() && scheduled_calls_.top().at_s <= until_s) {
    const std::function<void()> call = scheduled_calls_.top().call;
    now_ = std::max(now_, scheduled_calls_.top().at_s);
    scheduled_calls_.pop();
    call();
  }
  now_ = until_s;
}

double SimulatedTier::AdmittedBetween(int tenant, double from_s, double until_s) const {
  return SumBetween(admitted_[static_cast<std::size_t>(tenant)], from_s, until_s);
}

double SimulatedTier::ServedBetween(int tenant, double from_s, double until_s) const {
  return SumBetween(served_[static_cast<std::size_t>(tenant)], from_s, until_s);
}

double SimulatedTier::AllServedBetween(double from_s, double until_s) const {
  double sum = 0;
  for (const std::vector<double>& slices : served_) sum += SumBetween(slices, from_s, until_s);
  return sum;
}

double SimulatedTier::SumBetween(const std::vector<double>& slices, double from_s, double until_s) {
  const auto first = static_cast<std::size_t>(std::lround(from_s / kSliceS));
  const auto last = static_cast<std::size_t>(std::lround(until_s / kSliceS));
  double sum = 0;
  for (std::size_t i = first; i < std::min(last, slices.size()); ++i) sum += slices[i];
  return sum;
}

void SimulatedTier::CountInSlice(std::vector<std::vector<double>>* slices, int tenant) {
  std::vector<double>& tenant_slices = (*slices)[static_cast<std::size_t>(tenant)];
  const auto slice = static_cast<std::size_t>(now_ / kSliceS);
  if (tenant_slices.size() <= slice) tenant_slices.resize(slice + 1);
  tenant_slices[slice] += 1;
}

void SimulatedTier::Schedule(double at_s, std::function<void()> call) {
  scheduled_calls_.push({at_s, ++last_sequence_, std::move(call)});
}

void SimulatedTier::Handle(int dispatcher, const balancing::Event& event, bool is_peer_traffic) {
  balancing::Actions actions;
  const Stopwatch watch;
  balancers_[static_cast<std::size_t>(dispatcher)].Handle(now_, event, &actions);
  (is_peer_traffic ? control_cost_.peer_nanoseconds : control_cost_.job_nanoseconds) +=
      watch.Nanoseconds();
  for (const balancing::Action& action : actions) {
    std::visit([this, dispatcher](const auto& typed_action) { Execute(dispatcher, typed_action); },
               action);
  }
}

int SimulatedTier::RandomInRange(int first, int count) {
  return first + static_cast<int>(random_() % static_cast<std::uint64_t>(count));
}

void SimulatedTier::SubmitRequest(std::size_t source, std::uint64_t generation) {
  const Source& current = sources_[source];
  if (current.generation != generation) return;
  const Demand& demand = current.demand;
  Job job;
  job.dispatcher = RandomInRange(demand.first_dispatcher, demand.dispatcher_count);
  job.tenant = RandomInRange(demand.first_tenant, demand.tenants);
  const std::string id = std::to_string(jobs_.size());
  jobs_.push_back(job);
  Schedule(now_ + 1 / demand.jobs_per_s,
           [this, source, generation] { SubmitRequest(source, generation); });
  balancing::RequestArrived arrived;
  arrived.id = id;
  arrived.expires_s = now_ + kClientTimeoutS;
  arrived.tenant = job.tenant;
  Handle(job.dispatcher, arrived);
}

void SimulatedTier::Execute(int, const balancing::SendAttempt& send) {
  Job& job = FindJob(send.id);
  const auto worker = std::find_if(endpoints_.begin(), endpoints_.end(), [&](const auto& member) {
    return member.worker == send.worker;
  });
  if (job.attempts.empty()) CountInSlice(&admitted_, job.tenant);
  job.attempts.push_back({static_cast<int>(worker - endpoints_.begin())});
  Schedule(now_ + kWorkerDelayS, [this, job_index = std::stoul(send.id),
                                  attempt = static_cast<int>(job.attempts.size()) - 1] {
    DeliverToWorker(job_index, attempt);
  });
}

void SimulatedTier::DeliverToWorker(std::size_t job_index, int attempt) {
  Job& job = jobs_[job_index];
  Attempt& attempt_state = job.attempts[static_cast<std::size_t>(attempt)];
  int& free_slots = free_slots_by_worker_[static_cast<std::size_t>(attempt_state.worker)];
  if (free_slots == 0) {
    Schedule(now_ + kWorkerDelayS,
             [=, this] { EndAttempt(job_index, attempt, balancing::AttemptStatus::kRejected); });
    return;
  }
  free_slots -= 1;
  attempt_state.in_slot = true;
  Schedule(now_ + kWorkerDelayS, [=, this] {
    const std::string id = std::to_string(job_index);
    Handle(jobs_[job_index].dispatcher, balancing::AttemptProgress{id, attempt});
  });
  Schedule(now_ + options_.job_duration_s,
           [=, this] { EndAttempt(job_index, attempt, balancing::AttemptStatus::kSucceeded); });
}

void SimulatedTier::EndAttempt(std::size_t job_index, int attempt,
                               balancing::AttemptStatus status) {
  Job& job = jobs_[job_index];
  Attempt& attempt_state = job.attempts[static_cast<std::size_t>(attempt)];
  const bool held_slot = std::exchange(attempt_state.in_slot, false);
  // A cancelled attempt has already released its slot.
  if (status == balancing::AttemptStatus::kSucceeded && !held_slot) return;
  if (held_slot) free_slots_by_worker_[static_cast<std::size_t>(attempt_state.worker)] += 1;
  if (status == balancing::AttemptStatus::kSucceeded && !std::exchange(job.answered, true)) {
    CountInSlice(&served_, job.tenant);
  }
  balancing::AttemptEnded end;
  const std::string id = std::to_string(job_index);
  end.id = id;
  end.attempt = attempt;
  end.status = status;
  end.latency_s = options_.job_duration_s;
  end.terminal = job.answered;
  Handle(job.dispatcher, end);
}

void SimulatedTier::Execute(int, const balancing::RejectRequest& rejection) {
  FindJob(rejection.id).answered = true;
}

void SimulatedTier::Execute(int, const balancing::FailRequest& failure) {
  FindJob(failure.id).answered = true;
}

void SimulatedTier::Execute(int, const balancing::CancelAttempt& cancellation) {
  Schedule(now_ + kWorkerDelayS,
           [this, job_index = std::stoul(cancellation.id), attempt = cancellation.attempt] {
             EndAttempt(job_index, attempt, balancing::AttemptStatus::kCancelled);
           });
}

void SimulatedTier::Execute(int dispatcher, const balancing::SetTimer& timer) {
  Schedule(now_ + timer.after_s, [this, dispatcher, timer_id = timer.timer_id] {
    Handle(dispatcher, balancing::TimerFired{timer_id}, timer_id == kReportTimer);
  });
}

void SimulatedTier::Execute(int dispatcher, const balancing::SendPeerMessage& peer_message) {
  if (peer_message.body.size() > kMaxPeerMessageBytes) {
    control_cost_.oversized_messages += 1;
    return;
  }
  control_cost_.datagrams += 1;
  control_cost_.bytes += peer_message.body.size();
  Schedule(now_ + kPeerDelayS,
           [this, dispatcher, recipient = peer_message.recipient, body = peer_message.body] {
             Handle(recipient, balancing::PeerMessage{dispatcher, body}, true);
           });
}

}  // namespace millethollow::scale
