// Helpers of the decision module without decisions of their own: seeded random numbers, means,
// hashing and serialization.
#ifndef MILLETHOLLOW_BALANCING_SUPPORT_H_
#define MILLETHOLLOW_BALANCING_SUPPORT_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <vector>

namespace millethollow::balancing {

constexpr double kInf = std::numeric_limits<double>::infinity();

// A SplitMix64 generator: equal seeds give equal numbers on every platform.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t mixed = (state_ += 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
  }
  // A random number in the interval [0, 1).
  double Uniform() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  // A random number of 0 to count-1.
  std::size_t Below(std::size_t count) { return static_cast<std::size_t>(Next() % count); }
  // A random number of 0 to count-1 other than `excluded`.
  int OtherThan(int excluded, int count) {
    const int other = static_cast<int>(Below(static_cast<std::size_t>(count - 1)));
    return other >= excluded ? other + 1 : other;
  }

 private:
  std::uint64_t state_;
};

// An exponentially weighted mean: once it holds `max_count` samples, older ones decay.
struct Mean {
  double value = 0, count = 0;
  void Add(double sample, double max_count) {
    count = count + 1 < max_count ? count + 1 : max_count;
    value += (sample - value) / count;
  }
  double ValueOr(double fallback) const { return count > 0 ? value : fallback; }
};

// A least-squares fit of log(value) over log(hint), weighted as Mean is. Unlike the mean of
// value/hint it is not dominated by the smallest hints, and it tends to the mean value if hints are
// noisy.
struct LogLinearFit {
  Mean mean_x, mean_y, mean_xx, mean_xy, mean_yy;
  void Add(double hint, double value, double max_count) {
    const double log_hint = std::log(hint), log_value = std::log(value);
    mean_x.Add(log_hint, max_count), mean_y.Add(log_value, max_count),
        mean_xx.Add(log_hint * log_hint, max_count), mean_xy.Add(log_hint * log_value, max_count);
    mean_yy.Add(log_value * log_value, max_count);
  }
  // The expected value for this hint; `fallback` until two samples were added.
  double Predict(double hint, double fallback) const {
    if (mean_x.count < 2) return fallback;
    const double variance_x = mean_xx.value - mean_x.value * mean_x.value,
                 covariance = mean_xy.value - mean_x.value * mean_y.value;
    const double slope = variance_x > 1e-9 ? std::clamp(covariance / variance_x, 0.0, 1.0) : 0.0;
    const double residual_variance =
        std::max(0.0, mean_yy.value - mean_y.value * mean_y.value - slope * covariance);
    return std::exp(mean_y.value + slope * (std::log(hint) - mean_x.value) + residual_variance / 2);
  }
};

// Returns `values`, each multiplied by `factor`.
inline std::vector<double> Scaled(std::vector<double> values, double factor) {
  for (double& value : values) value *= factor;
  return values;
}

// The digests of recently rejected requests, in a table of fixed size; newer digests may overwrite
// older ones.
class RecentDigests {
 public:
  void Insert(std::uint64_t digest, double now_s) {
    slots_[digest % slots_.size()] = {digest, now_s};
  }
  // Removes the digest. Returns whether it was inserted after `since`.
  bool Remove(std::uint64_t digest, double since) {
    auto& [stored_digest, inserted_at] = slots_[digest % slots_.size()];
    if (stored_digest != digest || inserted_at < since) return false;
    stored_digest = 0;
    return true;
  }

 private:
  std::vector<std::pair<std::uint64_t, double>> slots_{1024, {0, 0}};
};

// Converts a non-negative int to an index of a standard container.
inline std::size_t ToIndex(int i) { return static_cast<std::size_t>(i); }

// Combines a hash with another value.
inline std::uint64_t CombineHashes(std::uint64_t hash, std::uint64_t other) {
  return Random(hash ^ (other * 0xff51afd7ed558ccdULL)).Next();
}

// Returns the FNV-1a hash of the text, mixed once more with its length. Every dispatcher computes
// the same value, unlike with std::hash.
inline std::uint64_t HashText(std::string_view text) {
  std::uint64_t hash = 1469598103934665603ULL;
  for (const char character : text)
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
  return CombineHashes(hash, text.size());
}

// Write and read fields in sequence, in their memory layout: only for builds whose fields have the
// same order, types and layout.
struct StateWriter {
  std::string output;
  template <typename... Fields>
  void operator()(const Fields&... fields) {
    (Write(fields), ...);
  }
  template <typename T>
  void Write(const T& value) {
    if constexpr (std::is_trivially_copyable_v<T>) {
      output.append(reinterpret_cast<const char*>(&value), sizeof value);
    } else if constexpr (requires { value.first; }) {
      (*this)(value.first, value.second);
    } else if constexpr (requires(T & t) { t.Visit(*this); }) {
      const_cast<T&>(value).Visit(*this);  // NOLINT(*-const-cast): a StateWriter changes nothing
    } else {                               // strings and vectors
      Write(value.size());
      for (const auto& item : value) Write(item);
    }
  }
};
struct StateReader {
  std::string_view input;
  bool valid = true;
  template <typename... Fields>
  void operator()(Fields&... fields) {
    (Read(fields), ...);
  }
  template <typename T>
  void Read(T& value) {
    if constexpr (std::is_trivially_copyable_v<T>) {
      if (input.size() < sizeof value) valid = false;
      if (!valid) return;
      std::copy_n(input.data(), sizeof value, reinterpret_cast<char*>(&value));
      input.remove_prefix(sizeof value);
    } else if constexpr (requires { value.first; }) {
      (*this)(value.first, value.second);
    } else if constexpr (requires { value.Visit(*this); }) {
      value.Visit(*this);
    } else {
      std::size_t count = 0;
      Read(count);
      if (count > input.size()) valid = false;
      value.resize(valid ? count : 0);
      for (auto& item : value) Read(item);
    }
  }
};

// Hashes strings and string views alike, so that look-ups need no copy.
struct StringHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};
// For look-ups only: its iteration order must never influence a decision.
template <typename T>
using StringMap = std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_SUPPORT_H_
