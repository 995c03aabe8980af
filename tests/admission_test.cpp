// Admission: the fleet rate, tenants' quotas, and shedding of load.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(AdmissionTest, OverloadCutsTheRateAndTenantsWithinQuotaAreAdmittedFirst) {
  Settings settings = TestSettings();
  settings.max_attempts = 2;
  settings.tenants = {{.share = 0.5, .quota_rps = 20}, {.share = 0.5, .quota_rps = 20}};
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(10));
  int request_count = 0, sent[2] = {0, 0}, arrived[2] = {0, 0};
  const auto send_and_end = [&](int tenant, bool count) {
    const std::string id = "j" + std::to_string(request_count++);
    dispatcher.SendRequest(id, 0, tenant);
    if (count) {
      ++arrived[tenant];
      sent[tenant] += !dispatcher.attempts[id].empty();
    }
    // Every third request is rejected by all workers.
    dispatcher.EndAllAttempts(id, [&](int) {
      return request_count % 3 == 0 ? AttemptStatus::kRejected : AttemptStatus::kSucceeded;
    });
  };
  for (int i = 0; i < 1000; ++i) {  // 100 requests per second of tenant 0, 10 of tenant 1
    send_and_end(0, i > 500);
    if (i % 10 == 0) send_and_end(1, i > 500);
    dispatcher.AdvanceTime(0.01);
  }
  EXPECT_GE(sent[1], arrived[1] * 0.9);
  EXPECT_LE(sent[0], arrived[0] * 0.7);
  EXPECT_GE(sent[0], arrived[0] * 0.15);  // at least its quota is admitted
}

// In a tier with little traffic one or two late starts are no overload.
TEST(AdmissionTest, FewLateStartsDoNotCutTheRate) {
  Settings settings = TestSettings();
  settings.workers_notify_start = true;
  settings.dispatcher_count = 45;
  settings.peers = true;
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(35));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "j" + std::to_string(i);
    dispatcher.SendRequest(id, 2);
    EXPECT_EQ(dispatcher.attempts[id].size(), 1u) << "rejected " << id;
    if (i % 10 != 9) dispatcher.ReportStart(id, 0);
    dispatcher.AdvanceTime(0.8);
    if (i % 10 == 9) dispatcher.ReportStart(id, 0);  // two requests start late
    dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
  }
}

// In a tier of hundreds a bucket gets one request in ten seconds, and a full bucket would outlast
// the overload. After a cut its requests are admitted at random with the admitted share; a retry
// gets no second chance.
TEST(AdmissionTest, RateCutAppliesToBucketsWithLittleTraffic) {
  Settings settings = TestSettings();
  settings.dispatcher_count = 200;
  settings.peers = true;
  settings.tenants = {{.share = 1, .quota_rps = 20}};
  settings.max_attempts = 2;
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(10));
  int sent = 0, arrived = 0, admitted_retries = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "j" + std::to_string(i);
    dispatcher.SendRequest(id, i % 3);
    const bool workers_full = i < 200 || i % 2 == 0;
    dispatcher.EndAllAttempts(id, [&](int) {
      return workers_full ? AttemptStatus::kRejected : AttemptStatus::kSucceeded;
    });
    if (i >= 200) {
      ++arrived;
      sent += !dispatcher.attempts[id].empty();
      if (dispatcher.attempts[id].empty()) {
        RequestArrived retry_event;
        const std::string retry_id = id + "again";
        retry_event.id = retry_id;
        retry_event.class_index = i % 3;
        retry_event.expires_s = dispatcher.now + 5;
        retry_event.retry = true;
        dispatcher.Handle(retry_event);
        admitted_retries += !dispatcher.attempts[retry_id].empty();
      }
    }
    dispatcher.AdvanceTime(1.0);
  }
  EXPECT_LT(sent, arrived * 0.8);
  EXPECT_GT(sent, arrived * 0.02);
  EXPECT_EQ(admitted_retries, 0);
}

// Where starts are not notified, the queue length that the best probed worker reports is the only
// sign of an overload.
TEST(AdmissionTest, ReportedQueuesThatMakeRequestsLateCutTheRate) {
  const auto rejected_count = [](double queued) {
    Settings settings = TestSettings();
    settings.probing = true;
    settings.load_report_source = LoadReportSource::kOnProbe;
    settings.load_report_metrics = {LoadMetric::kFreeSlots, LoadMetric::kQueued};
    settings.tenants = {{.share = 1, .quota_rps = 5}};
    TestDispatcher dispatcher(settings);
    dispatcher.UpdateEndpoints(MakeEndpoints(10));
    int rejected = 0;
    for (int i = 0; i < 600; ++i) {
      const std::string id = "j" + std::to_string(i);
      RequestArrived event;
      event.id = id;
      event.expires_s = dispatcher.now + 5;
      Actions actions = dispatcher.Handle(event);
      for (const Probe& probe : ActionsOf<Probe>(actions)) {
        dispatcher.Handle(ProbeAnswered{.worker = probe.worker,
                                        .status = AttemptStatus::kSucceeded,
                                        .has_report = true,
                                        .report = {queued > 0 ? 0.0 : 2.0, queued}});
      }
      dispatcher.AdvanceTime(0.05);
      if (!dispatcher.attempts[id].empty()) dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
      rejected += i > 200 && dispatcher.attempts[id].empty();
    }
    return rejected;
  };
  EXPECT_EQ(rejected_count(0), 0);
  EXPECT_GT(rejected_count(9), 50);
}

// When demand disappears and returns, as at the restart of a node, the fleet rate must not have
// shrunk with it.
TEST(AdmissionTest, ReturningDemandIsAdmittedAtIdleWorkers) {
  Settings settings = TestSettings();
  settings.tenants = {{.share = 1, .quota_rps = 40}};
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  int request_count = 0, rejected = 0;
  const auto send_requests = [&](double duration_s, double interval_s, bool workers_full) {
    rejected = 0;
    for (double elapsed_s = 0; elapsed_s < duration_s; elapsed_s += interval_s) {
      const std::string id = "j" + std::to_string(request_count++);
      dispatcher.SendRequest(id);
      if (dispatcher.attempts[id].empty())
        ++rejected;
      else if (workers_full)
        dispatcher.EndAllAttempts(id, [](int) { return AttemptStatus::kRejected; });
      else
        dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
      dispatcher.AdvanceTime(interval_s);
    }
  };
  send_requests(6, 0.05, true);  // the rate is cut
  send_requests(8, 2, false);
  send_requests(2, 0.05, false);  // the demand must be measured first
  send_requests(3, 0.05, false);
  EXPECT_EQ(rejected, 0);
}

TEST(AdmissionTest, ClassesOfATenantLoseTheSameShareInAnOverload) {
  Settings settings = TestSettings();
  settings.tenants = {{.share = 1, .quota_rps = 20}};
  settings.classes[1].priority_weight = 8;
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  int rejected[2] = {0, 0};
  for (int i = 0; i < 1600; ++i) {
    const std::string id = "j" + std::to_string(i);
    const int class_index = i % 2;
    dispatcher.SendRequest(id, class_index);
    if (!dispatcher.attempts[id].empty()) {  // every second request is rejected by all workers
      if (i % 4 < 2)
        dispatcher.EndAllAttempts(id, [](int) { return AttemptStatus::kRejected; });
      else
        dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
    } else if (i > 400) {
      rejected[class_index] += 1;
    }
    dispatcher.AdvanceTime(0.01);
  }
  EXPECT_GT(rejected[0], 100);
  EXPECT_LT(std::abs(rejected[0] - rejected[1]), rejected[0] / 3);
}

}  // namespace
}  // namespace millethollow::balancing
