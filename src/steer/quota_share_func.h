/// @file quota_share_func.h Division of a quota over entry VMs.

#ifndef SORRELPLANK_STEER_QUOTA_SHARE_FUNC_H_
#define SORRELPLANK_STEER_QUOTA_SHARE_FUNC_H_

#include <cstddef>

#include "steer/quota_bounds_type.h"

namespace sorrelplank {

struct QuotaTerms;

/// Parameters of a token bucket.
struct QuotaShare {
  /// Tokens per second.
  double m_rate = 0;
  /// Maximum number of tokens.
  double m_capacity = 0;
  /// Tokens of a new bucket.
  double m_initial = 0;
};

/// The share of each keeper. In every window the shares of all keepers stay
/// within the limit, and leave part of the tolerance for VMs that reach no
/// keeper.
QuotaShare KeeperShare(const QuotaTerms& terms,
                       const QuotaBounds& bounds,
                       size_t keepers);

/// The share of each of `vms` entry VMs while it reaches no keeper.
QuotaShare FallbackShare(const QuotaTerms& terms,
                         const QuotaBounds& bounds,
                         size_t vms);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_SHARE_FUNC_H_
