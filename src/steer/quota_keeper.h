/// @file quota_keeper.h Grants the tokens of quotas.

#ifndef SORRELPLANK_STEER_QUOTA_KEEPER_H_
#define SORRELPLANK_STEER_QUOTA_KEEPER_H_

#include <cstddef>
#include <unordered_map>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "steer/quota_bounds_type.h"
#include "steer/quota_bucket.h"
#include "steer/quota_message_type.h"

namespace sorrelplank {

struct QuotaTerms;

/// The part of the quotas that this entry VM keeps.
///
/// Load pattern: one organisation sends several times its limit through all
/// entry VMs. Each VM sees a part that is harmless by itself; the keeper sees
/// the sum.
class QuotaKeeper {
 public:
  void SetBounds(const QuotaBounds& bounds) { m_bounds = bounds; }

  /// Other VMs may have kept quotas until now. A quota that is asked
  /// for the first time has gained tokens from here on.
  void FleetChanged(TimePoint now) { m_keeps_since = now + kSettling; }

  /// Answers a question on a quota, one of so many
  /// keepers of it.
  QuotaGrant Grant(const QuotaAsk& ask,
                   const QuotaTerms& terms,
                   size_t keepers,
                   TimePoint now);

  /// Forgets quotas that nobody asked for lately.
  void ForgetUnused(TimePoint now);

  size_t Count() const { return m_kept.size(); }

 private:
  /// What it knows of one quota.
  struct Kept {
    QuotaBucket m_bucket;
    TimePoint m_asked;
    /// Tokens refused lately; fades within seconds.
    double m_refused = 0;
  };

  /// News of the fleet reach all VMs within this time.
  static constexpr Duration kSettling = seconds(2);

  Kept& KeptOf(const QuotaAsk& ask, const QuotaPart& part, TimePoint now);

  QuotaBounds m_bounds;
  TimePoint m_keeps_since{};
  std::unordered_map<QuotaSubject, Kept> m_kept;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_KEEPER_H_
