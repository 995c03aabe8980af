#include "support/quota_load.h"

#include <algorithm>
#include <cstdio>
#include <string>

namespace millethollow::cluster_test {
namespace {

constexpr double kAnswerTimeoutS = 5;
// In this time several answers are due even at the lowest rates of the tests. Shorter pauses are
// not recorded.
constexpr double kMinPauseS = 0.05;

}  // namespace

QuotaLoad::QuotaLoad(ClusterHarness* harness, double quota_rps)
    : harness_(harness),
      quota_rps_(quota_rps),
      rates_(harness->size(), 0.0),
      due_(harness->size(), 0.0),
      second_tenant_due_(harness->size(), 0.0),
      stepped_at_(harness->now()) {}

void QuotaLoad::SetRates(const std::vector<std::size_t>& nodes, double all_rps) {
  std::fill(rates_.begin(), rates_.end(), 0.0);
  for (const std::size_t node : nodes) rates_[node] = all_rps / static_cast<double>(nodes.size());
}

void QuotaLoad::RunLoad(double span_s) {
  harness_->RunUntil([this] { return Step(), false; }, span_s);
}

bool QuotaLoad::RunLoadUntil(const std::function<bool()>& done, double timeout_s) {
  return harness_->RunUntil([&] { return Step(), done(); }, timeout_s);
}

double QuotaLoad::PeakOver(double from, double quota_rps) const {
  return PeakUse(admitted_at_, pauses_, from, kWindowS, quota_rps);
}

double QuotaLoad::Use(double from, double until) const {
  const auto first = std::lower_bound(admitted_at_.begin(), admitted_at_.end(), from);
  const auto last = std::lower_bound(admitted_at_.begin(), admitted_at_.end(), until);
  return static_cast<double>(last - first) / ((until - from) * quota_rps_);
}

double QuotaLoad::RecoveryTime(double from, double max_delay_s, double min_use) const {
  constexpr double kSpanS = 2, kStepS = 0.05;
  for (double at = 0; at <= max_delay_s; at += kStepS) {
    if (Use(from + at, from + at + kSpanS) >= min_use) return at;
  }
  return -1;
}

void QuotaLoad::PrintUse(double from) const {
  std::printf("  use by the second:");
  for (double at = from; at < harness_->now(); at += 1) std::printf(" %.2f", Use(at, at + 1));
  std::printf("\n");
  for (const AnswerPause& pause : pauses_) {
    if (pause.start_s < from) continue;
    std::printf("  no answers for %.3f s from %.3f s on; load generator stalled for %.3f s\n",
                pause.length_s, pause.start_s - from, pause.generator_stall_s);
  }
  for (const auto& [node, times] : admitted_at_by_node_) {
    std::printf("  %s:", ClusterHarness::Name(node).c_str());
    for (double at = from; at < harness_->now(); at += 1) {
      const auto first = std::lower_bound(times.begin(), times.end(), at);
      std::printf(" %ld", std::lower_bound(first, times.end(), at + 1) - first);
    }
    std::printf("\n");
  }
}

void QuotaLoad::Step() {
  const double now = harness_->now();
  const double step_s = now - stepped_at_;
  longest_step_s_ = std::max(longest_step_s_, step_s);
  for (std::size_t node = 0; node < rates_.size(); ++node) {
    due_[node] += rates_[node] * step_s;
    second_tenant_due_[node] += kSecondTenantRps * step_s;
    for (; due_[node] >= 1; due_[node] -= 1) Send(node, now, false);
    for (; second_tenant_due_[node] >= 1; second_tenant_due_[node] -= 1) Send(node, now, true);
  }
  stepped_at_ = now;
  std::erase_if(open_, [&](const OpenRequest& request) { return CollectAnswer(request, now); });
}

void QuotaLoad::Send(std::size_t node, double now, bool of_second_tenant) {
  if (!harness_->Serves(node)) return;
  // The hint makes requests distinct: a repeated request counts only once as demand.
  const std::string id = std::to_string(++sent_);
  OpenRequest& open = open_.emplace_back();
  open.sent_at = now;
  open.of_second_tenant = of_second_tenant;
  open.node = node;
  open.client = std::make_unique<RawClient>(&harness_->loop(), harness_->http_address(node));
  std::string request =
      Post("q" + id, "look", "Work-Hint: " + std::to_string(1000 + sent_) + "\r\n");
  const std::string first = "Tenant: andes";
  if (of_second_tenant) request.replace(request.find(first), first.size(), "Tenant: pampa");
  open.client->Write(request);
}

bool QuotaLoad::CollectAnswer(const OpenRequest& request, double now) {
  const std::string& answer = request.client->received;
  if (answer.find("\r\n\r\n") == std::string::npos)
    return request.client->ended || now - request.sent_at > kAnswerTimeoutS;
  RecordPause(now);
  const bool rejected = answer.find("HTTP/1.1 503") == 0;
  const bool failed = !rejected && answer.find("HTTP/1.1 200") != 0;
  if (request.of_second_tenant) {
    other_rejected_ += rejected;
  } else {
    rejected_ += rejected;
    failed_ += failed;
    if (!rejected) admitted_at_.push_back(now);
    if (!rejected) admitted_at_by_node_[request.node].push_back(now);
  }
  return true;
}

void QuotaLoad::RecordPause(double now) {
  if (answered_at_ > 0 && now - answered_at_ > kMinPauseS) {
    pauses_.push_back({.start_s = answered_at_,
                       .length_s = now - answered_at_,
                       .generator_stall_s = longest_step_s_});
  }
  answered_at_ = now;
  longest_step_s_ = 0;
}

}  // namespace millethollow::cluster_test
