// Helpers of the decision module that decide nothing: seeded random numbers, means, hashing.
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

class Random {  // SplitMix64
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Next() % n); }
  int OtherThan(int me, int n) {  // any of 0 to n-1 but `me`
    const int other = static_cast<int>(Below(static_cast<std::size_t>(n - 1)));
    return other >= me ? other + 1 : other;
  }

 private:
  std::uint64_t state_;
};

// A mean that forgets: once `most` values are in, older ones fade.
struct Mean {
  double value = 0, n = 0;
  void Add(double v, double most) {
    n = n + 1 < most ? n + 1 : most;
    value += (v - value) / n;
  }
  double Or(double otherwise) const { return n > 0 ? value : otherwise; }
};

// A least-squares line through the logarithms of pairs (hint, observed value), forgetting as Mean
// does. Unlike a mean ratio it is not dominated by the smallest hints, and it falls back to the
// mean value as far as hints are noisy.
struct LogFit {
  Mean x, y, xx, xy, yy;
  void Add(double guess, double came, double most) {
    const double lx = std::log(guess), ly = std::log(came);
    x.Add(lx, most), y.Add(ly, most), xx.Add(lx * lx, most), xy.Add(lx * ly, most);
    yy.Add(ly * ly, most);
  }
  // The mean of what comes for this guess; `otherwise` until two are in.
  double At(double guess, double otherwise) const {
    if (x.n < 2) return otherwise;
    const double vx = xx.value - x.value * x.value, cov = xy.value - x.value * y.value;
    const double slope = vx > 1e-9 ? std::clamp(cov / vx, 0.0, 1.0) : 0.0;
    const double rest = std::max(0.0, yy.value - y.value * y.value - slope * cov);
    return std::exp(y.value + slope * (std::log(guess) - x.value) + rest / 2);
  }
};

inline std::vector<double> Times(std::vector<double> values, double factor) {
  for (double& v : values) v *= factor;
  return values;
}

// The digests of jobs rejected lately, in a fixed number of slots; newer ones may overwrite older
// ones.
class RecentDigests {
 public:
  void Put(std::uint64_t print, double now) { slots_[print % slots_.size()] = {print, now}; }
  // Forgets `print` and says whether it was put since `since`.
  bool Take(std::uint64_t print, double since) {
    auto& [held, at] = slots_[print % slots_.size()];
    if (held != print || at < since) return false;
    held = 0;
    return true;
  }

 private:
  std::vector<std::pair<std::uint64_t, double>> slots_{1024, {0, 0}};
};

inline std::size_t Idx(int i) { return static_cast<std::size_t>(i); }

inline std::uint64_t Mix(std::uint64_t h, std::uint64_t v) {
  return Random(h ^ (v * 0xff51afd7ed558ccdULL)).Next();
}

inline std::uint64_t HashText(std::string_view text) {  // FNV-1a: the same at every dispatcher
  std::uint64_t h = 1469598103934665603ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return Mix(h, text.size());
}

// Write and read fields one after the other, as they lie in memory: for the same program only.
struct Saver {
  std::string out;
  template <typename... Fields>
  void operator()(const Fields&... fields) {
    (Put(fields), ...);
  }
  template <typename T>
  void Put(const T& v) {
    if constexpr (std::is_trivially_copyable_v<T>) {
      out.append(reinterpret_cast<const char*>(&v), sizeof v);
    } else if constexpr (requires { v.first; }) {
      (*this)(v.first, v.second);
    } else if constexpr (requires(T & t) { t.Visit(*this); }) {
      const_cast<T&>(v).Visit(*this);  // NOLINT(*-const-cast): a Saver changes nothing
    } else {                           // text, vectors
      Put(v.size());
      for (const auto& item : v) Put(item);
    }
  }
};
struct Loader {
  std::string_view in;
  bool ok = true;
  template <typename... Fields>
  void operator()(Fields&... fields) {
    (Get(fields), ...);
  }
  template <typename T>
  void Get(T& v) {
    if constexpr (std::is_trivially_copyable_v<T>) {
      if (in.size() < sizeof v) ok = false;
      if (!ok) return;
      std::copy_n(in.data(), sizeof v, reinterpret_cast<char*>(&v));
      in.remove_prefix(sizeof v);
    } else if constexpr (requires { v.first; }) {
      (*this)(v.first, v.second);
    } else if constexpr (requires { v.Visit(*this); }) {
      v.Visit(*this);
    } else {
      std::size_t n = 0;
      Get(n);
      if (n > in.size()) ok = false;
      v.resize(ok ? n : 0);
      for (auto& item : v) Get(item);
    }
  }
};

struct TextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>()(s); }
};
// For look-ups only: its order must never reach a decision.
template <typename T>
using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_SUPPORT_H_
