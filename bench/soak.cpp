// Many days of a small tier in a minute: three dispatchers on a virtual clock, workers replaced
// under new names, tenants and keys that come and go. Prints, at the end of each day, what the
// process holds (RSS, descriptors, threads) and what a decision costs, to see what grows.
//
//   soak [days] [replaced-per-hour]
#include <dirent.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace {

using millethollow::balancing::Action;
using millethollow::balancing::Actions;
using millethollow::balancing::Endpoint;
using millethollow::balancing::LoadBalancer;

constexpr double kDayS = 3600;    // of virtual time: an hour of traffic stands for a day
constexpr double kJobsPerS = 30;  // over the tier
constexpr int kListed = 24;       // workers on the list at once
constexpr int kDispatchers = 3;
constexpr double kRunS = 0.04;

long Field(const char* file, const char* key) {
  std::ifstream in(file);
  std::string word;
  while (in >> word) {
    if (word == key) {
      long v = 0;
      in >> v;
      return v;
    }
  }
  return -1;
}

int Descriptors() {
  int n = 0;
  if (DIR* d = opendir("/proc/self/fd")) {
    while (readdir(d) != nullptr) ++n;
    closedir(d);
  }
  return n - 3;  // ., .. and the one of opendir
}

millethollow::balancing::Settings Tier(int dispatcher_index) {
  millethollow::balancing::Settings s;
  s.classes.resize(2);
  s.classes[1].idempotency = millethollow::balancing::Idempotency::kIdempotentWithKey;
  s.classes[1].deduplication_scope = millethollow::balancing::DeduplicationScope::kCell;
  s.classes[1].deduplication_window_s = 4;
  for (auto& c : s.classes) c.latency_objective_s = 0.2, c.client_timeout_s = 3;
  s.tenants = {{0.4, 0}, {0.3, 0}, {0.2, 0}, {0.1, 0}};
  s.tick_s = 0.005;
  s.max_attempts = 3;
  s.allow_hedging = s.workers_notify_start = s.peers = s.probing = s.retry_after = true;
  s.max_retry_after_s = 1;
  s.slow_start_min_share = 0.33;
  s.slow_start_s = 8;
  s.drain_grace_s = 1;
  s.slow_start_load_multiple = 3;
  s.overload_for_s = 3;
  s.dispatcher_count = kDispatchers;
  s.dispatcher_index = dispatcher_index;
  return s;
}

struct Soak {
  std::multimap<double, std::function<void()>> due;
  std::vector<LoadBalancer> tier;
  std::vector<Endpoint> members;
  int next_name = 0;
  double now = 0;
  std::mt19937_64 random{7};
  std::uint64_t jobs = 0, served = 0, refused = 0, failed = 0;
  double arrive_ns = 0;
  std::uint64_t arrivals = 0;
  std::vector<double> arrive_each;

  void Do(int d, const millethollow::balancing::Event& e) {
    Actions actions;
    tier[static_cast<std::size_t>(d)].Handle(now, e, &actions);
    for (const Action& a : actions) Carry(d, a);
  }
  void Carry(int d, const Action& a) {
    if (const auto* t = std::get_if<millethollow::balancing::SetTimer>(&a)) {
      const std::uint64_t mark = t->timer_id;
      due.emplace(now + t->after_s,
                  [this, d, mark] { Do(d, millethollow::balancing::TimerFired{mark}); });
    } else if (const auto* s = std::get_if<millethollow::balancing::SendAttempt>(&a)) {
      const std::string id = s->id;
      const int attempt = attempts[id]++;
      due.emplace(now + 0.002, [this, d, id, attempt] {
        Do(d, millethollow::balancing::AttemptProgress{
                  id, attempt, millethollow::balancing::ProgressKind::kStarted, 0});
      });
      due.emplace(now + kRunS, [this, d, id, attempt] {
        millethollow::balancing::AttemptEnded e;
        e.id = id;
        e.attempt = attempt;
        e.terminal = true;
        e.latency_s = kRunS;
        ++served;
        Do(d, e);
        attempts.erase(id);
      });
    } else if (const auto* r = std::get_if<millethollow::balancing::RejectRequest>(&a)) {
      ++refused;
      attempts.erase(r->id);
    } else if (const auto* f = std::get_if<millethollow::balancing::FailRequest>(&a)) {
      ++failed;
      attempts.erase(f->id);
    } else if (const auto* p = std::get_if<millethollow::balancing::SendPeerMessage>(&a)) {
      const int whom = p->recipient;
      const std::string body = p->body;
      due.emplace(now + 0.001, [this, d, whom, body] {
        if (whom >= 0 && whom < kDispatchers)
          Do(whom, millethollow::balancing::PeerMessage{d, body});
      });
    } else if (const auto* q = std::get_if<millethollow::balancing::Probe>(&a)) {
      const std::string worker = q->worker;
      due.emplace(now + 0.002, [this, d, worker] {
        millethollow::balancing::ProbeAnswered e;
        e.worker = worker;
        Do(d, e);
      });
    }
  }
  void List() {
    for (int d = 0; d < kDispatchers; ++d) {
      Do(d, millethollow::balancing::EndpointsUpdated{
                millethollow::balancing::EndpointListKind::kSnapshot, &members});
    }
  }
  Endpoint Fresh() {
    Endpoint m;
    m.worker =
        "10.1." + std::to_string(next_name / 250) + "." + std::to_string(next_name % 250) + ":8080";
    m.cell = next_name % 8;
    m.started_at_s = now;
    ++next_name;
    return m;
  }
  void Arrive() {
    const int d = static_cast<int>(random() % kDispatchers);
    millethollow::balancing::RequestArrived e;
    const std::string id = "j" + std::to_string(jobs++);
    e.id = id;
    e.tenant = static_cast<int>(random() % 4);
    e.class_index = static_cast<int>(random() % 2);
    // Keys come and go: each hour draws from another range.
    const std::string key = "k" + std::to_string(random() % 5000 + 5000 * (jobs / 100000));
    e.key = key;
    e.expires_s = now + 3;
    const auto t0 = std::chrono::steady_clock::now();
    Do(d, e);
    const double ns =
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - t0).count();
    arrive_ns += ns;
    ++arrivals;
    arrive_each.push_back(ns);
  }

  std::map<std::string, int> attempts;
};

}  // namespace

int main(int argc, char** argv) {
  const int days = argc > 1 ? std::atoi(argv[1]) : 20;
  const double replaced_per_hour = argc > 2 ? std::atof(argv[2]) : 240;
  Soak soak;
  for (int d = 0; d < kDispatchers; ++d) soak.tier.emplace_back(Tier(d), 11 + d);
  for (int d = 0; d < kDispatchers; ++d) soak.Do(d, millethollow::balancing::DispatcherStarted{});
  for (int i = 0; i < kListed; ++i) soak.members.push_back(soak.Fresh());
  soak.List();
  std::exponential_distribution<double> gap(kJobsPerS);
  double next_job = 0, next_swap = 0;
  const double swap_every = 3600 / std::max(replaced_per_hour, 1e-9);
  std::printf(
      "day  rss_kB  fds  threads  known_workers  listed  jobs/day  served  refused  failed"
      "  arrive_mean_us  arrive_p99_us\n");
  for (int day = 1; day <= days; ++day) {
    const double end = day * kDayS;
    soak.arrive_ns = 0;
    soak.arrivals = 0;
    soak.arrive_each.clear();
    const std::uint64_t jobs0 = soak.jobs, served0 = soak.served, refused0 = soak.refused,
                        failed0 = soak.failed;
    while (soak.now < end) {
      const double next_due = soak.due.empty() ? end : soak.due.begin()->first;
      const double next = std::min({next_due, next_job, next_swap, end});
      soak.now = std::max(soak.now, next);
      if (next == next_job) {
        soak.Arrive();
        next_job = soak.now + gap(soak.random);
      } else if (next == next_swap) {
        // One worker leaves for good, another comes under a name never seen.
        soak.members.erase(soak.members.begin() +
                           static_cast<long>(soak.random() % soak.members.size()));
        soak.members.push_back(soak.Fresh());
        soak.List();
        next_swap = soak.now + swap_every;
      } else if (!soak.due.empty() && next == next_due) {
        auto what = std::move(soak.due.begin()->second);
        soak.due.erase(soak.due.begin());
        what();
      } else {
        break;
      }
    }
    std::sort(soak.arrive_each.begin(), soak.arrive_each.end());
    const double p99 =
        soak.arrive_each.empty() ? 0 : soak.arrive_each[soak.arrive_each.size() * 99 / 100] / 1000;
    std::printf("%3d  %6ld  %3d  %7ld  %13zu  %6zu  %8lu  %6lu  %7lu  %6lu  %14.2f  %13.2f\n", day,
                Field("/proc/self/status", "VmRSS:"), Descriptors(),
                Field("/proc/self/status", "Threads:"), soak.tier[0].Workers().size(),
                soak.members.size(), static_cast<unsigned long>(soak.jobs - jobs0),
                static_cast<unsigned long>(soak.served - served0),
                static_cast<unsigned long>(soak.refused - refused0),
                static_cast<unsigned long>(soak.failed - failed0),
                soak.arrive_ns / std::max<double>(1, static_cast<double>(soak.arrivals)) / 1000,
                p99);
    std::fflush(stdout);
  }
  return 0;
}
