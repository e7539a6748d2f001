/// @file quota_gate.cc Taking tokens and requesting them from keepers.

#include "steer/quota_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "steer/quota_share_func.h"

namespace sorrelplank {

namespace {

/// Time constant of the request rate estimate.
constexpr Duration kRateDecayTime = seconds(1);
/// Tokens are prefetched for the requests expected within this time.
constexpr Duration kPrefetchTime = milliseconds(250);
/// Unused tokens are dropped after this time: used in a later window, they
/// would add to that window's own tokens.
constexpr Duration kTokenLifetime = seconds(1);
/// Response timeout, after which the next keeper is asked; a round trip between
/// regions takes 40 to 110 ms.
constexpr Duration kAnswerTimeout = milliseconds(150);
/// A keeper that timed out is not asked again for this time.
constexpr Duration kSilentKeeperBackoff = seconds(1);
/// How long a refusal of all keepers is cached. Without the cache, an
/// organisation far over its limit would overload its keepers with a quota
/// request for each request.
constexpr Duration kRefusalCacheTime = milliseconds(100);
/// Accounts without requests for this time are dropped.
constexpr Duration kUnusedExpiry = seconds(60);
constexpr Duration kSweepInterval = seconds(5);
/// Retry-After if no keeper was reachable.
constexpr Duration kUnreachableRetryAfter = milliseconds(300);

}  // namespace

QuotaGate::QuotaGate(std::vector<std::string> regions)
    : m_regions(std::move(regions)) {}

void QuotaGate::SetFleet(const std::vector<FleetMember>& fleet) {
  m_directory.SetFleet(fleet);
  m_vm_count = std::max<size_t>(1, fleet.size());
}

QuotaVerdict QuotaGate::Arrived(RequestId request,
                                QuotaSubject subject,
                                const QuotaTerms& terms,
                                TimePoint now) {
  Account& account = m_accounts[subject];
  CountArrival(account, now);
  const QuotaShare fallback = FallbackShare(terms, m_bounds, m_vm_count);
  if (account.m_fallback_bucket) {
    account.m_fallback_bucket->SetShare(fallback, now);
  }
  if (TakeToken(account, now)) {
    const bool runs_low = account.m_tokens * 2 < TokensToPrefetch(account);
    if (runs_low && !account.m_pending && now >= account.m_refused_until) {
      RequestTokens(subject, account, 0, false, now);
    }
    return QuotaVerdict::kPass;
  }
  if (now < account.m_refused_until) {
    return VerdictWithoutToken(account, now);
  }
  // If no keeper responded to the last quota request, requests do not wait for
  // one that might.
  const bool is_sent =
      account.m_pending || RequestTokens(subject, account, 0, false, now);
  account.m_has_reached_keeper &= is_sent;
  if (account.m_has_reached_keeper) {
    account.m_waiting.push_back(request);
    return QuotaVerdict::kWait;
  }
  if (!account.m_fallback_bucket) {
    account.m_fallback_bucket.emplace(fallback, now);
  }
  return VerdictWithoutToken(account, now);
}

void QuotaGate::CancelWait(RequestId request, QuotaSubject subject) {
  const auto account = m_accounts.find(subject);
  if (account != m_accounts.end()) {
    account->second.m_waiting.remove(request);
  }
}

void QuotaGate::Return(QuotaSubject subject, TimePoint now) {
  const auto it = m_accounts.find(subject);
  if (it == m_accounts.end()) {
    return;
  }
  Account& account = it->second;
  if (now >= account.m_tokens_expire_at) {
    account.m_tokens = 0;
    account.m_tokens_expire_at = now + kTokenLifetime;
  }
  ++account.m_tokens;
}

std::vector<AddressedQuotaRequest> QuotaGate::TakeQuotaRequests() {
  return std::exchange(m_quota_requests, {});
}

std::vector<QuotaOutcome> QuotaGate::TakeGrant(const QuotaGrant& grant,
                                               TimePoint now) {
  std::vector<QuotaOutcome> outcomes;
  const auto it = m_accounts.find(grant.m_subject);
  if (it == m_accounts.end()) {
    return outcomes;
  }
  Account& account = it->second;
  if (grant.m_tokens > 0) {
    account.m_tokens =
        (now < account.m_tokens_expire_at ? account.m_tokens : 0) +
        grant.m_tokens;
    account.m_tokens_expire_at = now + kTokenLifetime;
  }
  const bool is_awaited =
      account.m_pending && account.m_pending->m_number == grant.m_number;
  if (is_awaited) {
    PendingRequest pending = *std::exchange(account.m_pending, std::nullopt);
    if (grant.m_is_keeper) {
      pending.m_has_reached_keeper = true;
      account.m_has_reached_keeper = true;
      account.m_fallback_bucket.reset();
      account.m_retry_after = grant.m_wait;
    }
    ServeWaiting(account, now, outcomes);
    const bool is_short = grant.m_tokens < pending.m_tokens;
    pending.m_region += is_short ? 1 : 0;
    if (is_short || !account.m_waiting.empty()) {
      RequestFromNextKeeper(grant.m_subject, account, pending, now, outcomes);
    }
    return outcomes;
  }
  ServeWaiting(account, now, outcomes);
  return outcomes;
}

std::vector<QuotaOutcome> QuotaGate::Tick(TimePoint now) {
  std::vector<QuotaOutcome> outcomes;
  while (!m_sent_requests.empty() &&
         now - m_sent_requests.front().m_sent_at >= kAnswerTimeout) {
    const SentRequest sent = m_sent_requests.front();
    m_sent_requests.pop_front();
    const auto it = m_accounts.find(sent.m_subject);
    const bool is_silent = it != m_accounts.end() && it->second.m_pending &&
                           it->second.m_pending->m_number == sent.m_number;
    if (!is_silent) {
      continue;
    }
    Account& account = it->second;
    PendingRequest pending = *std::exchange(account.m_pending, std::nullopt);
    m_silent_keepers[pending.m_keeper] = now + kSilentKeeperBackoff;
    ++pending.m_region;
    RequestFromNextKeeper(sent.m_subject, account, pending, now, outcomes);
  }
  std::erase_if(m_silent_keepers,
                [now](const auto& one) { return now >= one.second; });
  DropUnused(now);
  return outcomes;
}

void QuotaGate::DropUnused(TimePoint now) {
  if (now - m_last_sweep < kSweepInterval) {
    return;
  }
  m_last_sweep = now;
  std::erase_if(m_accounts, [now](const auto& one) {
    const Account& account = one.second;
    return account.m_waiting.empty() &&
           now - account.m_last_arrival > kUnusedExpiry;
  });
}

Duration QuotaGate::RetryAfter(QuotaSubject subject) const {
  const auto it = m_accounts.find(subject);
  const bool is_known =
      it != m_accounts.end() && it->second.m_has_reached_keeper;
  return is_known ? it->second.m_retry_after : kUnreachableRetryAfter;
}

bool QuotaGate::IsRefused(QuotaSubject subject, TimePoint now) const {
  const auto it = m_accounts.find(subject);
  if (it == m_accounts.end()) {
    return false;
  }
  const Account& account = it->second;
  const bool has_tokens =
      account.m_tokens > 0 && now < account.m_tokens_expire_at;
  return !has_tokens && now < account.m_refused_until;
}

size_t QuotaGate::WaitingCount() const {
  size_t count = 0;
  for (const auto& [hash, account] : m_accounts) {
    count += account.m_waiting.size();
  }
  return count;
}

void QuotaGate::CountArrival(Account& account, TimePoint now) const {
  const double passed = ToMilliseconds(now - account.m_last_arrival);
  account.m_recent =
      account.m_recent * std::exp(-passed / ToMilliseconds(kRateDecayTime)) + 1;
  account.m_last_arrival = now;
}

uint32_t QuotaGate::TokensToPrefetch(const Account& account) const {
  return static_cast<uint32_t>(account.m_recent *
                               ToMilliseconds(kPrefetchTime) /
                               ToMilliseconds(kRateDecayTime));
}

bool QuotaGate::TakeToken(Account& account, TimePoint now) const {
  if (account.m_tokens == 0 || now >= account.m_tokens_expire_at) {
    return false;
  }
  --account.m_tokens;
  return true;
}

bool QuotaGate::RequestTokens(QuotaSubject subject,
                              Account& account,
                              size_t region,
                              bool has_reached_keeper,
                              TimePoint now) {
  for (; region < m_regions.size(); ++region) {
    const std::string& keeper =
        m_directory.KeeperIn(m_regions[region], subject);
    if (keeper.empty() || m_silent_keepers.contains(keeper)) {
      continue;
    }
    const auto wanted =
        static_cast<uint32_t>(std::max<size_t>(1, account.m_waiting.size()) +
                              TokensToPrefetch(account));
    account.m_pending = PendingRequest{m_next_number, wanted, keeper, region,
                                       has_reached_keeper};
    m_sent_requests.push_back({subject, m_next_number, now});
    m_quota_requests.push_back({keeper,
                                {.m_subject = subject,
                                 .m_number = m_next_number,
                                 .m_tokens = wanted,
                                 .m_limit = std::nullopt}});
    ++m_next_number;
    return true;
  }
  return false;
}

void QuotaGate::ServeWaiting(Account& account,
                             TimePoint now,
                             std::vector<QuotaOutcome>& outcomes) const {
  while (!account.m_waiting.empty() && TakeToken(account, now)) {
    outcomes.push_back({account.m_waiting.front(), QuotaVerdict::kPass});
    account.m_waiting.pop_front();
  }
}

void QuotaGate::RequestFromNextKeeper(QuotaSubject subject,
                                      Account& account,
                                      const PendingRequest& previous,
                                      TimePoint now,
                                      std::vector<QuotaOutcome>& outcomes) {
  const bool is_sent = RequestTokens(subject, account, previous.m_region,
                                     previous.m_has_reached_keeper, now);
  if (!is_sent) {
    account.m_has_reached_keeper = previous.m_has_reached_keeper;
    RefuseWaiting(account, now, outcomes);
  }
}

void QuotaGate::RefuseWaiting(Account& account,
                              TimePoint now,
                              std::vector<QuotaOutcome>& outcomes) {
  if (account.m_tokens == 0) {
    account.m_refused_until = now + kRefusalCacheTime;
  }
  for (const RequestId request : account.m_waiting) {
    outcomes.push_back({request, VerdictWithoutToken(account, now)});
  }
  account.m_waiting.clear();
}

QuotaVerdict QuotaGate::VerdictWithoutToken(Account& account,
                                            TimePoint now) const {
  if (account.m_has_reached_keeper) {
    return QuotaVerdict::kExhausted;
  }
  const bool may_pass =
      account.m_fallback_bucket && account.m_fallback_bucket->Take(1, now) > 0;
  return may_pass ? QuotaVerdict::kPass : QuotaVerdict::kKeepersUnreachable;
}

}  // namespace sorrelplank
