// What a decision of the scheduler costs, by workers, with ten thousand jobs that wait.
//   cmake --build build-ci --target scheduler_bench   (or see docs/room.md for a release build)
#include <benchmark/benchmark.h>

#include <random>

#include "scheduling/scheduler.h"

namespace millethollow::scheduling {
namespace {

constexpr std::size_t kWaiting = 10000;

struct Fleet {
  explicit Fleet(std::size_t workers) : scheduler(Bounds(), 1), random(1) {
    scheduler.SetTenants(std::vector<double>(6, 1.0 / 6));
    for (std::size_t w = 0; w < workers; ++w) {
      const double slots = w % 2 == 0 ? 5 : 4;
      scheduler.SetWorker(w, {.kind = static_cast<int>(w % 2),
                              .usable = true,
                              .capacity = {slots, slots},
                              .capacity_reported = true});
    }
    while (scheduler.stats().waiting < kWaiting) Arrive();
  }
  static Options Bounds() {
    Options o;
    o.on = true;
    o.max_queued_jobs = 2 * kWaiting;
    o.max_tenant_share = 1;
    return o;
  }
  void Arrive() {
    Job job;
    job.handle = ++last;
    job.class_index = random() % 4 == 0;
    job.tenant = static_cast<int>(random() % 6);
    job.need = {1, job.class_index == 1 ? 0.5 + static_cast<double>(random() % 16) / 16 : 0.4};
    job.arrived_at = now;
    job.start_by = now + (job.class_index == 1 ? 4 : 0.6);
    job.may_reserve = job.class_index == 1;
    jobs[last] = job;
    const int w = scheduler.FindWorker(job, now);
    if (w >= 0) {
      Start(job, static_cast<std::size_t>(w));
    } else {
      scheduler.Enqueue(job, now);
    }
  }
  void Start(const Job& job, std::size_t w) {
    scheduler.OnStarted(job, w, now);
    running.emplace_back(job.handle, w);
  }
  // One job ends, whoever may start does, and as many come: one round of decisions.
  void Round() {
    now += 0.001;
    const std::size_t i = random() % running.size();
    const auto [handle, worker] = running[i];
    running[i] = running.back();
    running.pop_back();
    scheduler.OnEnded(handle, worker, 0.5);
    jobs.erase(handle);
    while (const auto s = scheduler.Next(now)) {
      Start(jobs.at(s->job), s->worker);
      ++started;
    }
    while (scheduler.stats().waiting < kWaiting) Arrive();
  }
  Scheduler scheduler;
  std::mt19937 random;
  double now = 0;
  JobHandle last = 0;
  std::uint64_t started = 0;
  std::unordered_map<JobHandle, Job> jobs;
  std::vector<std::pair<JobHandle, std::size_t>> running;
};

void Decisions(benchmark::State& state) {
  Fleet fleet(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) fleet.Round();
  state.counters["starts"] =
      benchmark::Counter(static_cast<double>(fleet.started), benchmark::Counter::kIsRate);
}
BENCHMARK(Decisions)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

void Ticks(benchmark::State& state) {
  Fleet fleet(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    fleet.now += Scheduler::kTickS;
    fleet.scheduler.Tick(fleet.now);
    benchmark::DoNotOptimize(fleet.scheduler.Next(fleet.now));
  }
}
BENCHMARK(Ticks)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace millethollow::scheduling

BENCHMARK_MAIN();
