/// @file quota_keeper.cc Token buckets by quota.

#include "steer/quota_keeper.h"

#include <algorithm>
#include <cmath>

#include "steer/quota_terms_type.h"

namespace sorrelplank {

namespace {

/// Refused requests are retried for about this long.
constexpr Duration kRefusedDecayTime = seconds(1);
/// Bounds on the retry time that a grant returns for refused requests.
constexpr Duration kMinRetryAfter = milliseconds(100);
constexpr Duration kMaxRetryAfter = seconds(3);
/// Buckets without requests for this time are dropped: at usual limits they are
/// full by then, as is a new bucket.
constexpr Duration kUnusedExpiry = seconds(60);

double DecayFactor(Duration passed) {
  return std::exp(-ToMilliseconds(passed) / ToMilliseconds(kRefusedDecayTime));
}

}  // namespace

QuotaKeeper::QuotaState& QuotaKeeper::StateOf(const QuotaRequest& quota_request,
                                              const QuotaShare& share,
                                              TimePoint now) {
  const auto it = m_states.find(quota_request.m_subject);
  if (it == m_states.end()) {
    const QuotaState fresh{TokenBucket(share, std::min(now, m_refill_start)),
                           now, 0};
    return m_states.emplace(quota_request.m_subject, fresh).first->second;
  }
  it->second.m_bucket.SetShare(share, now);
  return it->second;
}

QuotaGrant QuotaKeeper::Grant(const QuotaRequest& quota_request,
                              const QuotaTerms& terms,
                              size_t keepers,
                              TimePoint now) {
  const QuotaShare share = KeeperShare(terms, m_bounds, keepers);
  QuotaState& state = StateOf(quota_request, share, now);
  state.m_refused *= DecayFactor(now - state.m_last_request);
  state.m_last_request = now;
  const uint32_t granted = state.m_bucket.Take(quota_request.m_tokens, now);
  state.m_refused += quota_request.m_tokens - granted;
  const auto wait =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          state.m_refused / std::max(share.m_rate, 0.001)));
  return {.m_subject = quota_request.m_subject,
          .m_number = quota_request.m_number,
          .m_tokens = granted,
          .m_is_keeper = true,
          .m_wait = std::clamp<Duration>(wait, kMinRetryAfter, kMaxRetryAfter)};
}

void QuotaKeeper::DropUnused(TimePoint now) {
  std::erase_if(m_states, [now](const auto& one) {
    return now - one.second.m_last_request > kUnusedExpiry;
  });
}

}  // namespace sorrelplank
