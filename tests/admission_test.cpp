// Admission: the fleet rate, tenants' quotas, and shedding of load.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(AdmissionTest, OverloadCutsTheRateAndTenantsWithinQuotaAreAdmittedFirst) {
  Settings s = TestSettings();
  s.max_attempts = 2;
  s.tenants = {{.share = 0.5, .quota_rps = 20}, {.share = 0.5, .quota_rps = 20}};
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(10));
  int n = 0, sent[2] = {0, 0}, seen[2] = {0, 0};
  const auto arrive = [&](int tenant, bool count) {
    const std::string id = "j" + std::to_string(n++);
    dispatcher.SendRequest(id, 0, tenant);
    if (count) {
      ++seen[tenant];
      sent[tenant] += !dispatcher.attempts[id].empty();
    }
    // Every third request is rejected by all workers.
    dispatcher.EndAllAttempts(
        id, [&](int) { return n % 3 == 0 ? AttemptStatus::kRejected : AttemptStatus::kSucceeded; });
  };
  for (int i = 0; i < 1000; ++i) {  // 100 a second of tenant 0, 10 of tenant 1
    arrive(0, i > 500);
    if (i % 10 == 0) arrive(1, i > 500);
    dispatcher.AdvanceTime(0.01);
  }
  EXPECT_GE(sent[1], seen[1] * 0.9);
  EXPECT_LE(sent[0], seen[0] * 0.7);
  EXPECT_GE(sent[0], seen[0] * 0.15);  // it keeps its quota
}

// In a tier with little traffic a late start or two are no overload.
TEST(AdmissionTest, FewLateStartsDoNotCutTheRate) {
  Settings s = TestSettings();
  s.workers_notify_start = true;
  s.dispatcher_count = 45;
  s.peers = true;
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(35));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "j" + std::to_string(i);
    dispatcher.SendRequest(id, 2);
    EXPECT_EQ(dispatcher.attempts[id].size(), 1u) << "refused " << id;
    if (i % 10 != 9) dispatcher.ReportStart(id, 0);
    dispatcher.AdvanceTime(0.8);
    if (i % 10 == 9) dispatcher.ReportStart(id, 0);  // two of all wait for their start
    dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
  }
}

// In a tier of hundreds a bucket sees a request in ten seconds, and a full one would outlast the
// overload. After a cut its requests are drawn at the admitted share; a retry is not drawn again.
TEST(AdmissionTest, RateCutAppliesToBucketsWithLittleTraffic) {
  Settings s = TestSettings();
  s.dispatcher_count = 200;
  s.peers = true;
  s.tenants = {{.share = 1, .quota_rps = 20}};
  s.max_attempts = 2;
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(10));
  int sent = 0, seen = 0, back = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "j" + std::to_string(i);
    dispatcher.SendRequest(id, i % 3);
    const bool full = i < 200 || i % 2 == 0;
    dispatcher.EndAllAttempts(
        id, [&](int) { return full ? AttemptStatus::kRejected : AttemptStatus::kSucceeded; });
    if (i >= 200) {
      ++seen;
      sent += !dispatcher.attempts[id].empty();
      if (dispatcher.attempts[id].empty()) {
        RequestArrived again;
        const std::string again_id = id + "again";
        again.id = again_id;
        again.cls = i % 3;
        again.expires_s = dispatcher.now + 5;
        again.retry = true;
        dispatcher.Handle(again);
        back += !dispatcher.attempts[again_id].empty();
      }
    }
    dispatcher.AdvanceTime(1.0);
  }
  EXPECT_LT(sent, seen * 0.8);
  EXPECT_GT(sent, seen * 0.02);
  EXPECT_EQ(back, 0);
}

// Where starts are not reported, the queue of the best probed worker is the only sign of an
// overload.
TEST(AdmissionTest, ReportedQueuesThatMakeRequestsLateCutTheRate) {
  const auto refused = [](double queued) {
    Settings s = TestSettings();
    s.probing = true;
    s.load_report_source = LoadReportSource::kOnProbe;
    s.load_report_metrics = {LoadMetric::kFreeSlots, LoadMetric::kQueued};
    s.tenants = {{.share = 1, .quota_rps = 5}};
    TestDispatcher dispatcher(s);
    dispatcher.UpdateEndpoints(MakeEndpoints(10));
    int lost = 0;
    for (int i = 0; i < 600; ++i) {
      const std::string id = "j" + std::to_string(i);
      RequestArrived e;
      e.id = id;
      e.expires_s = dispatcher.now + 5;
      Actions done = dispatcher.Handle(e);
      for (const Probe& p : ActionsOf<Probe>(done)) {
        dispatcher.Handle(ProbeAnswered{.worker = p.worker,
                                        .status = AttemptStatus::kSucceeded,
                                        .has_report = true,
                                        .report = {queued > 0 ? 0.0 : 2.0, queued}});
      }
      dispatcher.AdvanceTime(0.05);
      if (!dispatcher.attempts[id].empty()) dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
      lost += i > 200 && dispatcher.attempts[id].empty();
    }
    return lost;
  };
  EXPECT_EQ(refused(0), 0);
  EXPECT_GT(refused(9), 50);
}

// The rate must not have shrunk with demand that went away, as when a node restarts.
TEST(AdmissionTest, ReturningDemandIsAdmittedAtIdleWorkers) {
  Settings s = TestSettings();
  s.tenants = {{.share = 1, .quota_rps = 40}};
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  int n = 0, refused = 0;
  const auto run = [&](double span, double gap, bool full) {
    refused = 0;
    for (double t = 0; t < span; t += gap) {
      const std::string id = "j" + std::to_string(n++);
      dispatcher.SendRequest(id);
      if (dispatcher.attempts[id].empty())
        ++refused;
      else if (full)
        dispatcher.EndAllAttempts(id, [](int) { return AttemptStatus::kRejected; });
      else
        dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
      dispatcher.AdvanceTime(gap);
    }
  };
  run(6, 0.05, true);  // the rate is cut
  run(8, 2, false);
  run(2, 0.05, false);  // demand itself must be seen first
  run(3, 0.05, false);
  EXPECT_EQ(refused, 0);
}

TEST(AdmissionTest, ClassesOfATenantLoseTheSameShareInAnOverload) {
  Settings s = TestSettings();
  s.tenants = {{.share = 1, .quota_rps = 20}};
  s.classes[1].priority_weight = 8;
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  int refused[2] = {0, 0};
  for (int i = 0; i < 1600; ++i) {
    const std::string id = "j" + std::to_string(i);
    const int cls = i % 2;
    dispatcher.SendRequest(id, cls);
    if (!dispatcher.attempts[id].empty()) {  // every second is rejected by all workers
      if (i % 4 < 2)
        dispatcher.EndAllAttempts(id, [](int) { return AttemptStatus::kRejected; });
      else
        dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
    } else if (i > 400) {
      refused[cls] += 1;
    }
    dispatcher.AdvanceTime(0.01);
  }
  EXPECT_GT(refused[0], 100);
  EXPECT_LT(std::abs(refused[0] - refused[1]), refused[0] / 3);
}

}  // namespace
}  // namespace millethollow::balancing
