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
constexpr std::size_t kRefreshInterval = 16;  // samples between refreshes of the table
// A job that has run for longer than all samples is expected to run on for this part of its elapsed
// time (median).
constexpr double kTailShare = 0.5;

std::vector<double> InnerProbabilities() {
  std::vector<double> probabilities;
  for (std::size_t i = 1; i < Quantiles::kSteps; ++i) {
    probabilities.push_back(static_cast<double>(i) / Quantiles::kSteps);
  }
  return probabilities;
}

}  // namespace

struct Quantiles::Sketch {
  Sketch() : accumulator(acc::tag::extended_p_square::probabilities = InnerProbabilities()) {}
  Accumulator accumulator;
  std::size_t count = 0;
};

Quantiles::Quantiles() : current_(std::make_unique<Sketch>()) {}
Quantiles::~Quantiles() = default;
Quantiles::Quantiles(Quantiles&&) noexcept = default;
Quantiles& Quantiles::operator=(Quantiles&&) noexcept = default;

void Quantiles::Add(double value) {
  current_->accumulator(value);
  ++current_->count;
  if (next_) {
    next_->accumulator(value);
    ++next_->count;
  }
  if (current_->count >= kWindow / 2 && !next_) next_ = std::make_unique<Sketch>();
  if (current_->count >= kWindow) current_ = std::exchange(next_, std::make_unique<Sketch>());
  ++count_;
  if (++samples_since_refresh_ >= kRefreshInterval || count_ == kMinSamples) Refresh();
}

void Quantiles::Refresh() {
  samples_since_refresh_ = 0;
  // The first 2 * kSteps + 1 samples only initialize the markers. Until then the table is spaced
  // evenly between the minimum and the maximum.
  table_[0] = acc::min(current_->accumulator);
  table_[kSteps] = acc::max(current_->accumulator);
  const auto inner_quantiles = acc::extended_p_square(current_->accumulator);
  for (std::size_t i = 1; i < kSteps; ++i) {
    const double evenly_spaced =
        table_[0] + (table_[kSteps] - table_[0]) * static_cast<double>(i) / kSteps;
    table_[i] = current_->count > 2 * kSteps + 1
                    ? inner_quantiles[static_cast<std::ptrdiff_t>(i - 1)]
                    : evenly_spaced;
  }
  for (std::size_t i = 1; i <= kSteps; ++i) table_[i] = std::max(table_[i], table_[i - 1]);
}

double Quantiles::At(double p) const {
  const double position = std::clamp(p, 0.0, 1.0) * kSteps;
  const auto index = std::min(static_cast<std::size_t>(position), kSteps - 1);
  return table_[index] +
         (table_[index + 1] - table_[index]) * (position - static_cast<double>(index));
}

double Quantiles::Below(double value) const {
  if (value <= table_[0]) return 0;
  if (value >= table_[kSteps]) return 1;
  const auto next_entry = std::upper_bound(table_.begin(), table_.end(), value);
  const auto index = static_cast<std::size_t>(next_entry - table_.begin());
  const double step = table_[index] - table_[index - 1];
  const double fraction = step > 0 ? (value - table_[index - 1]) / step : 1;
  return (static_cast<double>(index - 1) + fraction) / kSteps;
}

double Quantiles::Remaining(double elapsed, double p) const {
  const double share_below = Below(elapsed);
  if (share_below >= 1) return kTailShare * elapsed * p / 0.5;
  return std::max(0.0, At(share_below + p * (1 - share_below)) - elapsed);
}

void RuntimeEstimator::AddSample(int class_index, int kind, double hint_s, double run_s) {
  for (const int estimated_kind : {kind, -1}) {
    run_times_[{class_index, estimated_kind}].Add(run_s);
    if (hint_s > 0) relative_run_times_[{class_index, estimated_kind}].Add(run_s / hint_s);
  }
}

const Quantiles* RuntimeEstimator::FindQuantiles(int class_index, int kind, double hint_s,
                                                 double* unit) const {
  const auto find = [&](const auto& quantiles_by_class) -> const Quantiles* {
    for (const int estimated_kind : {kind, -1}) {
      const auto it = quantiles_by_class.find({class_index, estimated_kind});
      if (it != quantiles_by_class.end() && it->second.known()) return &it->second;
    }
    return nullptr;
  };
  *unit = 1;
  if (hint_s > 0) {
    if (const Quantiles* quantiles = find(relative_run_times_)) return *unit = hint_s, quantiles;
  }
  return find(run_times_);
}

double RuntimeEstimator::Remaining(int class_index, int kind, double hint_s, double elapsed,
                                   double p) const {
  double unit = 1;
  if (const Quantiles* quantiles = FindQuantiles(class_index, kind, hint_s, &unit)) {
    return unit * quantiles->Remaining(elapsed / unit, p);
  }
  const auto it = prior_run_s_.find(class_index);
  const double run_s = hint_s > 0 ? hint_s : it != prior_run_s_.end() ? it->second : 1.0;
  return elapsed < run_s ? run_s - elapsed : kTailShare * elapsed;
}

}  // namespace millethollow::scheduling
