// A tier of decision modules on a virtual clock that send usage reports to each other over a lossy
// network. It uses only the public interface of the module.
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

// Runs the dispatchers of a tier. Times are seconds on the virtual clock.
class ReportTier {
 public:
  // Size and behaviour of the tier.
  struct Shape {
    int dispatcher_count = 3, tenants = 6, classes = 1;
    double loss = 0;                    // share of the datagrams that are lost
    bool half_full = false;             // every second attempt finds its worker full
    double configured_quota_rps = 0.1;  // quota in the settings of each tenant, requests per second
  };
  // Requests that arrived, and those admitted.
  struct Admission {
    int arrived = 0, admitted = 0;
  };

  explicit ReportTier(const Shape& shape) : shape_(shape), random_(5) {
    for (int w = 0; w < kWorkers; ++w) {
      Endpoint endpoint;
      endpoint.worker = "w" + std::to_string(w);
      endpoint.cell = w / 2;
      endpoints_.push_back(endpoint);
    }
  }
  // Sets another quota for a tenant. Must be called before Start.
  void SetQuota(int tenant, double requests_per_second) { quotas_[tenant] = requests_per_second; }
  void Start() {
    Settings settings = MakeSettings();
    for (int dispatcher_index = 0; dispatcher_index < shape_.dispatcher_count; ++dispatcher_index) {
      settings.dispatcher_index = dispatcher_index;
      dispatchers_.push_back(
          std::make_unique<LoadBalancer>(settings, 11 + static_cast<unsigned>(dispatcher_index)));
    }
    for (int dispatcher_index = 0; dispatcher_index < shape_.dispatcher_count; ++dispatcher_index) {
      Handle(dispatcher_index, DispatcherStarted{});
      Handle(dispatcher_index, EndpointsUpdated{EndpointListKind::kSnapshot, &endpoints_});
    }
  }
  // From now on, requests of this tenant arrive at this dispatcher at an even rate, of each class
  // in turn.
  void AddDemand(int dispatcher, int tenant, double requests_per_second) {
    const double interval_s = 1 / requests_per_second;
    const double phase = std::uniform_real_distribution<double>(0, interval_s)(random_);
    ScheduleAt(now_ + phase, [=, this] { Arrive(dispatcher, tenant, interval_s, 0); });
  }
  // Runs everything that is scheduled until then.
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
  const LoadBalancer& dispatcher(int index) const {
    return *dispatchers_[static_cast<std::size_t>(index)];
  }
  Admission admission(int dispatcher, int tenant) const {
    const auto it = admissions_.find({dispatcher, tenant});
    return it == admissions_.end() ? Admission{} : it->second;
  }
  void ResetAdmissions() { admissions_.clear(); }

  // Called for each datagram that is sent, and for each that is received.
  std::function<void(int from, int to, const std::string& body)> on_send = [](int, int,
                                                                              const auto&) {};
  std::function<void(int from, int to, const std::string& body)> on_receive = [](int, int,
                                                                                 const auto&) {};

 private:
  static constexpr int kWorkers = 12;
  static constexpr double kNetworkDelayS = 0.01, kRunTimeS = 0.02, kTimeoutS = 5;

  Settings MakeSettings() const {
    Settings settings;
    settings.classes.resize(static_cast<std::size_t>(shape_.classes));
    for (ClassSettings& class_settings : settings.classes) {
      class_settings.latency_objective_s = 0.2;
      class_settings.client_timeout_s = kTimeoutS;
    }
    const auto tenants = static_cast<std::size_t>(shape_.tenants);
    settings.tenants.assign(
        tenants, {.share = 1.0 / shape_.tenants, .quota_rps = shape_.configured_quota_rps});
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
  void ScheduleAt(double at, std::function<void()> action) {
    events_.emplace(std::pair{at, ++next_sequence_}, std::move(action));
  }
  void Arrive(int dispatcher, int tenant, double interval_s, int class_index) {
    const std::string id = "j" + std::to_string(++request_count_);
    Admission& admission = admissions_[{dispatcher, tenant}];
    admission.arrived += 1;
    rejected_ = false;
    RequestArrived request;
    request.id = id;
    request.expires_s = now_ + kTimeoutS;
    request.tenant = tenant;
    request.class_index = class_index;
    // Otherwise it would be recognized as a rejected request that returns.
    request.memory = 1e-6 * static_cast<double>(request_count_);
    Handle(dispatcher, request);
    admission.admitted += !rejected_;
    ScheduleAt(now_ + interval_s, [=, this, next_class = (class_index + 1) % shape_.classes] {
      Arrive(dispatcher, tenant, interval_s, next_class);
    });
  }
  void Handle(int dispatcher, const Event& event) {
    Actions actions;
    dispatchers_[static_cast<std::size_t>(dispatcher)]->Handle(now_, event, &actions);
    for (const Action& action : actions) Execute(dispatcher, action);
  }
  void Execute(int dispatcher, const Action& action) {
    if (const auto* timer = std::get_if<SetTimer>(&action)) {
      ScheduleAt(now_ + timer->after_s, [=, this, timer_id = timer->timer_id] {
        Handle(dispatcher, TimerFired{timer_id});
      });
    } else if (const auto* send = std::get_if<SendAttempt>(&action)) {
      const int attempt = attempts_[send->id]++;
      const bool full = shape_.half_full && ++send_count_ % 2 == 0;
      ScheduleAt(now_ + kRunTimeS, [=, this, id = send->id] {
        Handle(dispatcher,
               AttemptEnded{.id = id,
                            .attempt = attempt,
                            .status = full ? AttemptStatus::kRejected : AttemptStatus::kSucceeded,
                            .terminal = !full});
      });
    } else if (std::holds_alternative<RejectRequest>(action)) {
      rejected_ = true;
    } else if (const auto* message = std::get_if<SendPeerMessage>(&action)) {
      Send(dispatcher, message->recipient, message->body);
    }
  }
  void Send(int from, int to, const std::string& body) {
    on_send(from, to, body);
    // As on the network, a longer body cannot be sent.
    if (body.size() > 256 || std::uniform_real_distribution<double>(0, 1)(random_) < shape_.loss)
      return;
    ScheduleAt(now_ + kNetworkDelayS, [=, this] {
      on_receive(from, to, body);
      Handle(to, PeerMessage{from, body});
    });
  }

  Shape shape_;
  std::mt19937_64 random_;
  std::vector<Endpoint> endpoints_;
  std::map<int, double> quotas_;
  std::vector<std::unique_ptr<LoadBalancer>> dispatchers_;
  double now_ = 100;
  std::uint64_t next_sequence_ = 0, request_count_ = 0, send_count_ = 0;
  bool rejected_ = false;
  std::map<std::pair<double, std::uint64_t>, std::function<void()>> events_;
  std::map<std::string, int> attempts_;
  std::map<std::pair<int, int>, Admission> admissions_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_TESTS_SUPPORT_REPORT_TIER_H_
