// A hash function for pairs of numbers.
#ifndef MILLETHOLLOW_SCHEDULING_MIX_H_
#define MILLETHOLLOW_SCHEDULING_MIX_H_

#include <cstdint>

namespace millethollow::scheduling {

// Hashes two numbers with the output function of SplitMix64 (Steele, Lea and Flood 2014).
constexpr std::uint64_t Mix(std::uint64_t a, std::uint64_t b) {
  std::uint64_t hash = a * 0x9e3779b97f4a7c15ULL + b;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_MIX_H_
