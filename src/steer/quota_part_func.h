/// @file quota_part_func.h How a quota is divided.

#ifndef SORRELPLANK_STEER_QUOTA_PART_FUNC_H_
#define SORRELPLANK_STEER_QUOTA_PART_FUNC_H_

#include <cstddef>

#include "steer/quota_bounds_type.h"

namespace sorrelplank {

struct QuotaTerms;

/// A token bucket: what it gains and holds.
struct QuotaPart {
  /// Tokens a second.
  double m_rate = 0;
  /// Tokens that it holds at most.
  double m_capacity = 0;
  /// Tokens that it begins with.
  double m_first = 0;
};

/// The part of each keeper. The parts of all keepers stay within the limit in
/// every window, with what is left of the tolerance for VMs out of reach.
QuotaPart PartOfKeeper(const QuotaTerms& terms,
                       const QuotaBounds& bounds,
                       size_t keepers);

/// The part of each entry VM that reaches no keeper, of so many VMs.
QuotaPart PartOutOfReach(const QuotaTerms& terms,
                         const QuotaBounds& bounds,
                         size_t vms);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_PART_FUNC_H_
