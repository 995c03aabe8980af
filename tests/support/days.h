// What the tests that play many days, each from a seed, have in common.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_DAYS_H_
#define MILLETHOLLOW_TESTS_SUPPORT_DAYS_H_

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace millethollow {

// SEED, SEEDS or DEPTH, as a caller may set them.
inline std::uint64_t FromEnvironment(const char* name, std::uint64_t usual) {
  const char* text = std::getenv(name);
  return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

// The first seed whose day breaks a promise, as `broken` tells them; 0: none does.
template <typename Broken>
std::uint64_t FirstSeed(std::uint64_t most, Broken broken) {
  for (std::uint64_t seed = 1; seed <= most; ++seed) {
    const std::vector<std::string> what = broken(seed);
    if (what.empty()) continue;
    std::printf("seed %lu finds it: %s\n", seed, what[0].c_str());
    return seed;
  }
  return 0;
}

}  // namespace millethollow

#endif  // MILLETHOLLOW_TESTS_SUPPORT_DAYS_H_
