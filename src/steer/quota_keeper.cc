/// @file quota_keeper.cc Buckets by what the quotas are for.

#include "steer/quota_keeper.h"

#include <algorithm>
#include <cmath>

#include "steer/quota_terms_type.h"

namespace sorrelplank {

namespace {

/// Requests that were refused come back about this long.
constexpr Duration kRefusedFade = seconds(1);
/// Bounds on the time after which refused requests are told to come back.
constexpr Duration kShortestWait = milliseconds(100);
constexpr Duration kLongestWait = seconds(3);
/// A bucket that nobody asked for so long is full at usual limits, as is one
/// that is begun anew.
constexpr Duration kUnusedFor = seconds(60);

double FadeOver(Duration passed) {
  return std::exp(-ToMilliseconds(passed) / ToMilliseconds(kRefusedFade));
}

}  // namespace

QuotaKeeper::Kept& QuotaKeeper::KeptOf(const QuotaAsk& ask,
                                       const QuotaPart& part,
                                       TimePoint now) {
  const auto it = m_kept.find(ask.m_subject);
  if (it == m_kept.end()) {
    const Kept fresh{QuotaBucket(part, std::min(now, m_keeps_since)), now, 0};
    return m_kept.emplace(ask.m_subject, fresh).first->second;
  }
  it->second.m_bucket.SetPart(part, now);
  return it->second;
}

QuotaGrant QuotaKeeper::Grant(const QuotaAsk& ask,
                              const QuotaTerms& terms,
                              size_t keepers,
                              TimePoint now) {
  const QuotaPart part = PartOfKeeper(terms, m_bounds, keepers);
  Kept& kept = KeptOf(ask, part, now);
  kept.m_refused *= FadeOver(now - kept.m_asked);
  kept.m_asked = now;
  const uint32_t granted = kept.m_bucket.Take(ask.m_tokens, now);
  kept.m_refused += ask.m_tokens - granted;
  const auto wait =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          kept.m_refused / std::max(part.m_rate, 0.001)));
  return {.m_subject = ask.m_subject,
          .m_number = ask.m_number,
          .m_tokens = granted,
          .m_is_keeper = true,
          .m_wait = std::clamp<Duration>(wait, kShortestWait, kLongestWait)};
}

void QuotaKeeper::ForgetUnused(TimePoint now) {
  std::erase_if(m_kept, [now](const auto& one) {
    return now - one.second.m_asked > kUnusedFor;
  });
}

}  // namespace sorrelplank
