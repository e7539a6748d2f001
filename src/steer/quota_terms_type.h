/// @file quota_terms_type.h How much of something may run.

#ifndef SORRELPLANK_STEER_QUOTA_TERMS_TYPE_H_
#define SORRELPLANK_STEER_QUOTA_TERMS_TYPE_H_

namespace sorrelplank {

/// What a quota allows over all entry VMs together.
struct QuotaTerms {
  /// Requests a second.
  double m_rate_per_second = 0;
  /// Requests beside the rate in any span of time.
  double m_burst = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_TERMS_TYPE_H_
