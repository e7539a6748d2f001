/// @file quota_terms_type.h Rate and burst of a quota.

#ifndef SORRELPLANK_STEER_QUOTA_TERMS_TYPE_H_
#define SORRELPLANK_STEER_QUOTA_TERMS_TYPE_H_

namespace sorrelplank {

/// Limit of a quota over all entry VMs together.
struct QuotaTerms {
  /// Requests per second.
  double m_rate_per_second = 0;
  /// Requests beyond the rate in any span of time.
  double m_burst = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_TERMS_TYPE_H_
