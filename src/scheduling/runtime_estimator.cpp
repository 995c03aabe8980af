#include "scheduling/runtime_estimator.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <vector>

namespace millethollow::scheduling {
namespace acc = boost::accumulators;

namespace {

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::extended_p_square, acc::tag::min, acc::tag::max>>;
constexpr std::size_t kRefresh = 16;  // samples between updates of the table
// Beyond all samples a job is expected to run for so much of its elapsed time again (median).
constexpr double kTail = 0.5;

std::vector<double> Steps() {
  std::vector<double> steps;
  for (std::size_t i = 1; i < Quantiles::kSteps; ++i) {
    steps.push_back(static_cast<double>(i) / Quantiles::kSteps);
  }
  return steps;
}

}  // namespace

struct Quantiles::Sketch {
  Sketch() : set(acc::tag::extended_p_square::probabilities = Steps()) {}
  Accumulator set;
  std::size_t n = 0;
};

Quantiles::Quantiles() : now_(std::make_unique<Sketch>()) {}
Quantiles::~Quantiles() = default;
Quantiles::Quantiles(Quantiles&&) noexcept = default;
Quantiles& Quantiles::operator=(Quantiles&&) noexcept = default;

void Quantiles::Add(double value) {
  now_->set(value);
  ++now_->n;
  if (next_) {
    next_->set(value);
    ++next_->n;
  }
  if (now_->n >= kWindow / 2 && !next_) next_ = std::make_unique<Sketch>();
  if (now_->n >= kWindow) now_ = std::exchange(next_, std::make_unique<Sketch>());
  ++count_;
  if (++stale_ >= kRefresh || count_ == kEnough) Refresh();
}

void Quantiles::Refresh() {
  stale_ = 0;
  // The first 2 * kSteps + 1 samples only place the markers; until then the table is the spread.
  table_[0] = acc::min(now_->set);
  table_[kSteps] = acc::max(now_->set);
  const auto inner = acc::extended_p_square(now_->set);
  for (std::size_t i = 1; i < kSteps; ++i) {
    const double even = table_[0] + (table_[kSteps] - table_[0]) * static_cast<double>(i) / kSteps;
    table_[i] = now_->n > 2 * kSteps + 1 ? inner[static_cast<std::ptrdiff_t>(i - 1)] : even;
  }
  for (std::size_t i = 1; i <= kSteps; ++i) table_[i] = std::max(table_[i], table_[i - 1]);
}

double Quantiles::At(double p) const {
  const double at = std::clamp(p, 0.0, 1.0) * kSteps;
  const auto low = std::min(static_cast<std::size_t>(at), kSteps - 1);
  return table_[low] + (table_[low + 1] - table_[low]) * (at - static_cast<double>(low));
}

double Quantiles::Below(double value) const {
  if (value <= table_[0]) return 0;
  if (value >= table_[kSteps]) return 1;
  const auto high = std::upper_bound(table_.begin(), table_.end(), value);
  const auto i = static_cast<std::size_t>(high - table_.begin());
  const double step = table_[i] - table_[i - 1];
  const double part = step > 0 ? (value - table_[i - 1]) / step : 1;
  return (static_cast<double>(i - 1) + part) / kSteps;
}

double Quantiles::Remaining(double elapsed, double p) const {
  const double gone = Below(elapsed);
  if (gone >= 1) return kTail * elapsed * p / 0.5;
  return std::max(0.0, At(gone + p * (1 - gone)) - elapsed);
}

void RuntimeEstimator::AddSample(int cls, int kind, double hint_s, double took_s) {
  for (const int k : {kind, -1}) {
    runs_[{cls, k}].Add(took_s);
    if (hint_s > 0) scaled_[{cls, k}].Add(took_s / hint_s);
  }
}

const Quantiles* RuntimeEstimator::BestSketch(int cls, int kind, double hint_s,
                                              double* unit) const {
  const auto find = [&](const auto& table) -> const Quantiles* {
    for (const int k : {kind, -1}) {
      const auto it = table.find({cls, k});
      if (it != table.end() && it->second.known()) return &it->second;
    }
    return nullptr;
  };
  *unit = 1;
  if (hint_s > 0) {
    if (const Quantiles* q = find(scaled_)) return *unit = hint_s, q;
  }
  return find(runs_);
}

double RuntimeEstimator::Remaining(int cls, int kind, double hint_s, double elapsed,
                                   double p) const {
  double unit = 1;
  if (const Quantiles* q = BestSketch(cls, kind, hint_s, &unit)) {
    return unit * q->Remaining(elapsed / unit, p);
  }
  const auto it = prior_s_.find(cls);
  const double run = hint_s > 0 ? hint_s : it != prior_s_.end() ? it->second : 1.0;
  return elapsed < run ? run - elapsed : kTail * elapsed;
}

}  // namespace millethollow::scheduling
