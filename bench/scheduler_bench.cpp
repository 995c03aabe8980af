// Benchmarks the scheduler's decisions by number of workers, with ten thousand queued jobs.
//   cmake --build build-ci --target scheduler_bench   (or see docs/room.md for a release build)
#include <benchmark/benchmark.h>

#include <random>

#include "scheduling/scheduler.h"

namespace millethollow::scheduling {
namespace {

constexpr std::size_t kQueuedJobs = 10000;

// A scheduler with workers whose slots are all in use, and a queue kept at kQueuedJobs jobs.
struct SimulatedFleet {
  explicit SimulatedFleet(std::size_t workers) : scheduler(MakeOptions(), 1), random(1) {
    scheduler.SetTenants(std::vector<double>(6, 1.0 / 6));
    for (std::size_t worker = 0; worker < workers; ++worker) {
      const double slots = worker % 2 == 0 ? 5 : 4;
      scheduler.SetWorker(worker, {.kind = static_cast<int>(worker % 2),
                                   .usable = true,
                                   .capacity = {slots, slots},
                                   .capacity_reported = true});
    }
    while (scheduler.stats().waiting < kQueuedJobs) SubmitJob();
  }
  static Options MakeOptions() {
    Options options;
    options.on = true;
    options.max_queued_jobs = 2 * kQueuedJobs;
    options.max_tenant_share = 1;
    return options;
  }
  // Submits a random job: starts it if a worker has room, otherwise queues it.
  void SubmitJob() {
    Job job;
    job.handle = ++last_handle;
    job.class_index = random() % 4 == 0;
    job.tenant = static_cast<int>(random() % 6);
    job.need = {1, job.class_index == 1 ? 0.5 + static_cast<double>(random() % 16) / 16 : 0.4};
    job.arrived_at = now_s;
    job.start_by = now_s + (job.class_index == 1 ? 4 : 0.6);
    job.may_reserve = job.class_index == 1;
    jobs[last_handle] = job;
    const int worker = scheduler.FindWorker(job, now_s);
    if (worker >= 0) {
      StartJob(job, static_cast<std::size_t>(worker));
    } else {
      scheduler.Enqueue(job, now_s);
    }
  }
  void StartJob(const Job& job, std::size_t worker) {
    scheduler.OnStarted(job, worker, now_s);
    running.emplace_back(job.handle, worker);
  }
  // Ends a random job, starts the queued jobs that can start, and refills the queue.
  void EndOneJobAndRefill() {
    now_s += 0.001;
    const std::size_t running_index = random() % running.size();
    const auto [handle, worker] = running[running_index];
    running[running_index] = running.back();
    running.pop_back();
    scheduler.OnEnded(handle, worker, 0.5);
    jobs.erase(handle);
    while (const auto placement = scheduler.Next(now_s)) {
      StartJob(jobs.at(placement->job), placement->worker);
      ++started;
    }
    while (scheduler.stats().waiting < kQueuedJobs) SubmitJob();
  }
  Scheduler scheduler;
  std::mt19937 random;
  double now_s = 0;  // Virtual time.
  JobHandle last_handle = 0;
  std::uint64_t started = 0;
  std::unordered_map<JobHandle, Job> jobs;
  std::vector<std::pair<JobHandle, std::size_t>> running;
};

// Time of one round of decisions when a job ends; `starts` is the rate of jobs started.
void Decisions(benchmark::State& state) {
  SimulatedFleet fleet(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) fleet.EndOneJobAndRefill();
  state.counters["starts"] =
      benchmark::Counter(static_cast<double>(fleet.started), benchmark::Counter::kIsRate);
}
BENCHMARK(Decisions)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

// Time of one tick and the decision that follows it.
void Ticks(benchmark::State& state) {
  SimulatedFleet fleet(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    fleet.now_s += Scheduler::kTickS;
    fleet.scheduler.Tick(fleet.now_s);
    benchmark::DoNotOptimize(fleet.scheduler.Next(fleet.now_s));
  }
}
BENCHMARK(Ticks)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace millethollow::scheduling

BENCHMARK_MAIN();
