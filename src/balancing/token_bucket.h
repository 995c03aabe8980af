// The token bucket of admission control.
#ifndef MILLETHOLLOW_BALANCING_TOKEN_BUCKET_H_
#define MILLETHOLLOW_BALANCING_TOKEN_BUCKET_H_

#include <cstdint>

#include "balancing/support.h"

namespace millethollow::balancing {

// The token bucket of one class and tenant. Its layout is part of the state handed over in a hot
// restart.
struct Bucket {
  bool in_use = false;
  std::uint16_t admitted = 0, rejected = 0;  // since the last report
  double first_attempts = 0;                 // since the last control round, without returning jobs
  double demand_rps = 0;                     // smoothed
  double rate_rps = kInf;                    // kInf: not limited
  double admit_share = 1;                    // of the demand
  double tokens = 0, tokens_at = 0;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_TOKEN_BUCKET_H_
