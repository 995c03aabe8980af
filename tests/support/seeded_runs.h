// Helpers for tests that repeat a simulation with one seed after the other.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_SEEDED_RUNS_H_
#define MILLETHOLLOW_TESTS_SUPPORT_SEEDED_RUNS_H_

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace millethollow {

// The number in an environment variable (SEED: the first seed; SEEDS: how many; DEPTH: of a
// search), or default_value if it is not set.
inline std::uint64_t FromEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

// The first seed, from 1 to max_seed, for which violations(seed) returns any; 0: none.
template <typename Violations>
std::uint64_t FirstFailingSeed(std::uint64_t max_seed, Violations violations) {
  for (std::uint64_t seed = 1; seed <= max_seed; ++seed) {
    const std::vector<std::string> found = violations(seed);
    if (found.empty()) continue;
    std::printf("seed %lu fails: %s\n", seed, found[0].c_str());
    return seed;
  }
  return 0;
}

}  // namespace millethollow

#endif  // MILLETHOLLOW_TESTS_SUPPORT_SEEDED_RUNS_H_
