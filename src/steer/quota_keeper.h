/// @file quota_keeper.h Grants quota tokens to entry VMs.

#ifndef SORRELPLANK_STEER_QUOTA_KEEPER_H_
#define SORRELPLANK_STEER_QUOTA_KEEPER_H_

#include <cstddef>
#include <unordered_map>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "steer/quota_bounds_type.h"
#include "steer/quota_message_type.h"
#include "steer/token_bucket.h"

namespace sorrelplank {

struct QuotaTerms;

/// The token buckets of the quotas that this entry VM keeps.
///
/// Load pattern: one organisation sends several times its limit through all
/// entry VMs. Each VM sees a share that is within the limit; the keeper sees
/// the sum.
class QuotaKeeper {
 public:
  void SetBounds(const QuotaBounds& bounds) { m_bounds = bounds; }

  /// To be called when the fleet changes. Other VMs may have kept this VM's
  /// quotas until now, so a new bucket refills only from here on.
  void FleetChanged(TimePoint now) { m_refill_start = now + kFleetUpdateDelay; }

  /// Grants tokens as one of `keepers` keepers of the quota.
  QuotaGrant Grant(const QuotaRequest& quota_request,
                   const QuotaTerms& terms,
                   size_t keepers,
                   TimePoint now);

  /// Drops quotas without recent requests.
  void DropUnused(TimePoint now);

  size_t Count() const { return m_states.size(); }

 private:
  /// State of one quota.
  struct QuotaState {
    TokenBucket m_bucket;
    TimePoint m_last_request;
    /// Exponentially decayed count of refused tokens; `kRefusedDecayTime`.
    double m_refused = 0;
  };

  /// Fleet changes reach all VMs within this time.
  static constexpr Duration kFleetUpdateDelay = seconds(2);

  QuotaState& StateOf(const QuotaRequest& quota_request,
                      const QuotaShare& share,
                      TimePoint now);

  QuotaBounds m_bounds;
  TimePoint m_refill_start{};
  std::unordered_map<QuotaSubject, QuotaState> m_states;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_QUOTA_KEEPER_H_
