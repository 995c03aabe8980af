// The token bucket that admission control uses.
#ifndef MILLETHOLLOW_BALANCING_TOKEN_BUCKET_H_
#define MILLETHOLLOW_BALANCING_TOKEN_BUCKET_H_

#include <cstdint>

#include "balancing/support.h"

namespace millethollow::balancing {

// The token bucket of one class and tenant. It is transferred byte for byte in a hot restart, so
// its layout must not change.
struct Bucket {
  bool in_use = false;
  std::uint16_t admitted = 0, rejected = 0;  // since the last report
  // Since the last control round, without requests that return after a rejection.
  double first_attempts = 0;
  double demand_rps = 0;   // smoothed
  double rate_rps = kInf;  // kInf: not limited
  double admit_share = 1;  // share of the demand to admit, 0 to 1
  double tokens = 0, tokens_at = 0;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_TOKEN_BUCKET_H_
