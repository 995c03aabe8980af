// A tier of decision modules on a virtual clock that report to each other over links that lose.
// Uses the module's public interface alone.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_REPORT_TIER_H_
#define MILLETHOLLOW_TESTS_SUPPORT_REPORT_TIER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

class ReportTier {
 public:
  struct Shape {
    int dispatcher_count = 3, tenants = 6, classes = 1;
    double loss = 0;          // share of the datagrams that get lost
    bool half_full = false;   // every second attempt finds its worker full
    double told_quota = 0.1;  // of each tenant, jobs a second
  };
  struct Admission {
    int asked = 0, admitted = 0;
  };

  explicit ReportTier(const Shape& shape) : shape_(shape), random_(5) {
    for (int w = 0; w < kWorkers; ++w) {
      Endpoint member;
      member.worker = "w" + std::to_string(w);
      member.cell = w / 2;
      members_.push_back(member);
    }
  }
  // Before Start.
  void SetQuota(int tenant, double jobs_per_second) { quotas_[tenant] = jobs_per_second; }
  void Start() {
    Settings settings = SettingsOf();
    for (int d = 0; d < shape_.dispatcher_count; ++d) {
      settings.dispatcher_index = d;
      dispatchers_.push_back(
          std::make_unique<LoadBalancer>(settings, 11 + static_cast<unsigned>(d)));
    }
    for (int d = 0; d < shape_.dispatcher_count; ++d) {
      Handle(d, DispatcherStarted{});
      Handle(d, EndpointsUpdated{EndpointListKind::kSnapshot, &members_});
    }
  }
  // From now on jobs of this tenant come to this dispatcher evenly, of each class in turn.
  void AddDemand(int dispatcher, int tenant, double jobs_per_second) {
    const double gap = 1 / jobs_per_second;
    const double phase = std::uniform_real_distribution<double>(0, gap)(random_);
    At(now_ + phase, [=, this] { Arrive(dispatcher, tenant, gap, 0); });
  }
  void RunUntil(double until) {
    while (!events_.empty() && events_.begin()->first.first <= until) {
      const auto event = std::move(events_.begin()->second);
      now_ = events_.begin()->first.first;
      events_.erase(events_.begin());
      event();
    }
    now_ = until;
  }
  double now() const { return now_; }
  const LoadBalancer& dispatcher(int d) const { return *dispatchers_[static_cast<std::size_t>(d)]; }
  Admission admission(int dispatcher, int tenant) const {
    const auto it = admissions_.find({dispatcher, tenant});
    return it == admissions_.end() ? Admission{} : it->second;
  }
  void ForgetAdmissions() { admissions_.clear(); }

  // Called for each datagram that is sent, and for each that arrives.
  std::function<void(int from, int to, const std::string& body)> on_tell = [](int, int,
                                                                              const auto&) {};
  std::function<void(int from, int to, const std::string& body)> on_hear = [](int, int,
                                                                              const auto&) {};

 private:
  static constexpr int kWorkers = 12;
  static constexpr double kWireS = 0.01, kRunS = 0.02, kTimeoutS = 5;

  Settings SettingsOf() const {
    Settings settings;
    settings.classes.resize(static_cast<std::size_t>(shape_.classes));
    for (ClassSettings& cls : settings.classes) {
      cls.latency_objective_s = 0.2;
      cls.client_timeout_s = kTimeoutS;
    }
    const auto tenants = static_cast<std::size_t>(shape_.tenants);
    settings.tenants.assign(tenants,
                            {.share = 1.0 / shape_.tenants, .quota_rps = shape_.told_quota});
    for (const auto& [tenant, quota] : quotas_) {
      settings.tenants[static_cast<std::size_t>(tenant)].quota_rps = quota;
    }
    settings.tick_s = 0.005;
    settings.max_attempts = 4;
    settings.allow_hedging = true;
    settings.drain_grace_s = 0.5;
    settings.slow_start_load_multiple = 3;
    settings.overload_for_s = 3;
    settings.dispatcher_count = shape_.dispatcher_count;
    settings.peers = true;
    return settings;
  }
  void At(double when, std::function<void()> what) {
    events_.emplace(std::pair{when, ++order_}, std::move(what));
  }
  void Arrive(int dispatcher, int tenant, double gap, int cls) {
    const std::string id = "j" + std::to_string(++jobs_);
    Admission& admission = admissions_[{dispatcher, tenant}];
    admission.asked += 1;
    refused_ = false;
    RequestArrived job;
    job.id = id;
    job.expires_s = now_ + kTimeoutS;
    job.tenant = tenant;
    job.cls = cls;
    job.memory = 1e-6 * static_cast<double>(jobs_);  // else it is taken for one refused before
    Handle(dispatcher, job);
    admission.admitted += !refused_;
    At(now_ + gap,
       [=, this, next = (cls + 1) % shape_.classes] { Arrive(dispatcher, tenant, gap, next); });
  }
  void Handle(int dispatcher, const Event& event) {
    Actions actions;
    dispatchers_[static_cast<std::size_t>(dispatcher)]->Handle(now_, event, &actions);
    for (const Action& action : actions) Do(dispatcher, action);
  }
  void Do(int dispatcher, const Action& action) {
    if (const auto* timer = std::get_if<SetTimer>(&action)) {
      At(now_ + timer->after_s,
         [=, this, mark = timer->timer_id] { Handle(dispatcher, TimerFired{mark}); });
    } else if (const auto* send = std::get_if<SendAttempt>(&action)) {
      const int attempt = attempts_[send->id]++;
      const bool full = shape_.half_full && ++sends_ % 2 == 0;
      At(now_ + kRunS, [=, this, id = send->id] {
        Handle(dispatcher,
               AttemptEnded{.id = id,
                            .attempt = attempt,
                            .status = full ? AttemptStatus::kRejected : AttemptStatus::kSucceeded,
                            .terminal = !full});
      });
    } else if (std::holds_alternative<RejectRequest>(action)) {
      refused_ = true;
    } else if (const auto* tell = std::get_if<SendPeerMessage>(&action)) {
      Tell(dispatcher, tell->recipient, tell->body);
    }
  }
  void Tell(int from, int to, const std::string& body) {
    on_tell(from, to, body);
    // As the wire does: a longer body can't be sent.
    if (body.size() > 256 || std::uniform_real_distribution<double>(0, 1)(random_) < shape_.loss)
      return;
    At(now_ + kWireS, [=, this] {
      on_hear(from, to, body);
      Handle(to, PeerMessage{from, body});
    });
  }

  Shape shape_;
  std::mt19937_64 random_;
  std::vector<Endpoint> members_;
  std::map<int, double> quotas_;
  std::vector<std::unique_ptr<LoadBalancer>> dispatchers_;
  double now_ = 100;
  std::uint64_t order_ = 0, jobs_ = 0, sends_ = 0;
  bool refused_ = false;
  std::map<std::pair<double, std::uint64_t>, std::function<void()>> events_;
  std::map<std::string, int> attempts_;
  std::map<std::pair<int, int>, Admission> admissions_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_TESTS_SUPPORT_REPORT_TIER_H_
