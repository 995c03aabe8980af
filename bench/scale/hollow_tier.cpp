#include "scale/hollow_tier.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "scale/fixtures.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

constexpr double kWorkerWireS = 0.0005, kPeerWireS = 0.01;  // one way
constexpr double kPatienceS = 5;
constexpr std::uint64_t kReportTimer = 1;

}  // namespace

HollowTier::HollowTier(const Options& options)
    : options_(options),
      members_(Workers(options.workers)),
      free_slots_(static_cast<std::size_t>(options.workers), kSlotsPerWorker),
      random_(options.seed),
      admitted_(static_cast<std::size_t>(options.tenants)),
      served_(static_cast<std::size_t>(options.tenants)) {
  balancing::Settings settings = FleetSettings(options_.dispatcher_count, options_.tenants);
  for (std::size_t t = 0; t < options_.quotas_rps.size(); ++t) {
    settings.tenants[t].quota_rps = options_.quotas_rps[t];
  }
  balancers_.reserve(static_cast<std::size_t>(options_.dispatcher_count));
  for (int d = 0; d < options_.dispatcher_count; ++d) {
    settings.dispatcher_index = d;
    balancers_.emplace_back(settings, options_.seed * 1000003 + static_cast<std::uint64_t>(d));
    Handle(d, balancing::DispatcherStarted{});
    Handle(d, balancing::EndpointsUpdated{balancing::EndpointListKind::kSnapshot, &members_});
  }
  ResetCost();
}

void HollowTier::SetDemand(std::size_t source, const Demand& demand) {
  if (sources_.size() <= source) sources_.resize(source + 1);
  Source& changed = sources_[source];
  changed.demand = demand;
  changed.life += 1;
  if (demand.jobs_per_s <= 0) return;
  At(now_ + 1 / demand.jobs_per_s, [this, source, life = changed.life] { Arrive(source, life); });
}

void HollowTier::Run(double until) {
  while (!queue_.empty() && queue_.top().at <= until) {
    const std::function<void()> what = queue_.top().what;
    now_ = std::max(now_, queue_.top().at);
    queue_.pop();
    what();
  }
  now_ = until;
}

double HollowTier::AdmittedBetween(int tenant, double from, double until) const {
  return Between(admitted_[static_cast<std::size_t>(tenant)], from, until);
}

double HollowTier::ServedBetween(int tenant, double from, double until) const {
  return Between(served_[static_cast<std::size_t>(tenant)], from, until);
}

double HollowTier::AllServedBetween(double from, double until) const {
  double sum = 0;
  for (const std::vector<double>& slices : served_) sum += Between(slices, from, until);
  return sum;
}

double HollowTier::Between(const std::vector<double>& slices, double from, double until) {
  const auto first = static_cast<std::size_t>(std::lround(from / kSliceS));
  const auto last = static_cast<std::size_t>(std::lround(until / kSliceS));
  double sum = 0;
  for (std::size_t i = first; i < std::min(last, slices.size()); ++i) sum += slices[i];
  return sum;
}

void HollowTier::Count(std::vector<std::vector<double>>* slices, int tenant) {
  std::vector<double>& of_tenant = (*slices)[static_cast<std::size_t>(tenant)];
  const auto slice = static_cast<std::size_t>(now_ / kSliceS);
  if (of_tenant.size() <= slice) of_tenant.resize(slice + 1);
  of_tenant[slice] += 1;
}

void HollowTier::At(double when, std::function<void()> what) {
  queue_.push({when, ++order_, std::move(what)});
}

void HollowTier::Handle(int dispatcher, const balancing::Event& event, bool of_peers) {
  balancing::Actions actions;
  const Stopwatch watch;
  balancers_[static_cast<std::size_t>(dispatcher)].Handle(now_, event, &actions);
  (of_peers ? cost_.peer_nanoseconds : cost_.job_nanoseconds) += watch.Nanoseconds();
  for (const balancing::Action& action : actions) {
    std::visit([this, dispatcher](const auto& a) { Do(dispatcher, a); }, action);
  }
}

int HollowTier::Draw(int first, int count) {
  return first + static_cast<int>(random_() % static_cast<std::uint64_t>(count));
}

void HollowTier::Arrive(std::size_t source, std::uint64_t life) {
  const Source& from = sources_[source];
  if (from.life != life) return;
  const Demand& demand = from.demand;
  Job job;
  job.dispatcher = Draw(demand.first_dispatcher, demand.dispatcher_count);
  job.tenant = Draw(demand.first_tenant, demand.tenants);
  const std::string id = std::to_string(jobs_.size());
  jobs_.push_back(job);
  At(now_ + 1 / demand.jobs_per_s, [this, source, life] { Arrive(source, life); });
  balancing::RequestArrived arrived;
  arrived.id = id;
  arrived.expires_s = now_ + kPatienceS;
  arrived.tenant = job.tenant;
  Handle(job.dispatcher, arrived);
}

void HollowTier::Do(int, const balancing::SendAttempt& send) {
  Job& job = JobOf(send.id);
  const auto worker = std::find_if(members_.begin(), members_.end(), [&](const auto& member) {
    return member.worker == send.worker;
  });
  if (job.attempts.empty()) Count(&admitted_, job.tenant);
  job.attempts.push_back({static_cast<int>(worker - members_.begin())});
  At(now_ + kWorkerWireS,
     [this, number = std::stoul(send.id), attempt = static_cast<int>(job.attempts.size()) - 1] {
       Submit(number, attempt);
     });
}

void HollowTier::Submit(std::size_t number, int attempt) {
  Job& job = jobs_[number];
  Attempt& at = job.attempts[static_cast<std::size_t>(attempt)];
  int& free = free_slots_[static_cast<std::size_t>(at.worker)];
  if (free == 0) {
    At(now_ + kWorkerWireS,
       [=, this] { End(number, attempt, balancing::AttemptStatus::kRejected); });
    return;
  }
  free -= 1;
  at.in_slot = true;
  At(now_ + kWorkerWireS, [=, this] {
    const std::string id = std::to_string(number);
    Handle(jobs_[number].dispatcher, balancing::AttemptProgress{id, attempt});
  });
  At(now_ + options_.run_s,
     [=, this] { End(number, attempt, balancing::AttemptStatus::kSucceeded); });
}

void HollowTier::End(std::size_t number, int attempt, balancing::AttemptStatus verdict) {
  Job& job = jobs_[number];
  Attempt& at = job.attempts[static_cast<std::size_t>(attempt)];
  const bool held_slot = std::exchange(at.in_slot, false);
  // One that was called off has left its slot already.
  if (verdict == balancing::AttemptStatus::kSucceeded && !held_slot) return;
  if (held_slot) free_slots_[static_cast<std::size_t>(at.worker)] += 1;
  if (verdict == balancing::AttemptStatus::kSucceeded && !std::exchange(job.answered, true)) {
    Count(&served_, job.tenant);
  }
  balancing::AttemptEnded end;
  const std::string id = std::to_string(number);
  end.id = id;
  end.attempt = attempt;
  end.status = verdict;
  end.latency_s = options_.run_s;
  end.terminal = job.answered;
  Handle(job.dispatcher, end);
}

void HollowTier::Do(int, const balancing::RejectRequest& refuse) {
  JobOf(refuse.id).answered = true;
}

void HollowTier::Do(int, const balancing::FailRequest& fail) { JobOf(fail.id).answered = true; }

void HollowTier::Do(int, const balancing::CancelAttempt& cancel) {
  At(now_ + kWorkerWireS, [this, number = std::stoul(cancel.id), attempt = cancel.attempt] {
    End(number, attempt, balancing::AttemptStatus::kCancelled);
  });
}

void HollowTier::Do(int dispatcher, const balancing::SetTimer& timer) {
  At(now_ + timer.after_s, [this, dispatcher, mark = timer.timer_id] {
    Handle(dispatcher, balancing::TimerFired{mark}, mark == kReportTimer);
  });
}

void HollowTier::Do(int dispatcher, const balancing::SendPeerMessage& tell) {
  if (tell.body.size() > kMaxPeerMessageBytes) {
    cost_.too_long += 1;
    return;
  }
  cost_.datagrams += 1;
  cost_.bytes += tell.body.size();
  At(now_ + kPeerWireS, [this, dispatcher, whom = tell.recipient, body = tell.body] {
    Handle(whom, balancing::PeerMessage{dispatcher, body}, true);
  });
}

}  // namespace millethollow::scale
