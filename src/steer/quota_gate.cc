/// @file quota_gate.cc Taking tokens and asking for them.

#include "steer/quota_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "steer/quota_part_func.h"

namespace sorrelplank {

namespace {

/// Time over which the rate of requests is measured.
constexpr Duration kRateSpan = seconds(1);
/// Tokens are asked for ahead for the requests of this time.
constexpr Duration kAhead = milliseconds(250);
/// A token that is not used for so long is dropped: used in a later window, it
/// would count there beside that window's own.
constexpr Duration kTokenLife = seconds(1);
/// A keeper that does not answer for so long is passed over; two ways between
/// regions take 40 to 110 ms.
constexpr Duration kAnswerTimeout = milliseconds(150);
/// And not asked again for so long.
constexpr Duration kSilence = seconds(1);
/// An answer that there is no token holds for so long; asked for each request,
/// the keepers of an organisation far over its limit had nothing else to do.
constexpr Duration kRefusalHolds = milliseconds(100);
/// Accounts without requests are forgotten.
constexpr Duration kUnusedFor = seconds(60);
constexpr Duration kSweepInterval = seconds(5);
/// Told to come back where no keeper was within reach.
constexpr Duration kOutOfReachWait = milliseconds(300);

}  // namespace

QuotaGate::QuotaGate(std::vector<std::string> regions)
    : m_regions(std::move(regions)) {}

void QuotaGate::SetFleet(const std::vector<FleetMember>& fleet) {
  m_directory.SetFleet(fleet);
  m_vms = std::max<size_t>(1, fleet.size());
}

QuotaVerdict QuotaGate::Arrived(RequestId request,
                                QuotaSubject subject,
                                const QuotaTerms& terms,
                                TimePoint now) {
  Account& account = m_accounts[subject];
  CountArrival(account, now);
  const QuotaPart alone = PartOutOfReach(terms, m_bounds, m_vms);
  if (account.m_alone) {
    account.m_alone->SetPart(alone, now);
  }
  if (TakeToken(account, now)) {
    const bool runs_low = account.m_tokens * 2 < TokensAhead(account);
    if (runs_low && !account.m_open && now >= account.m_refused_until) {
      Ask(subject, account, 0, false, now);
    }
    return QuotaVerdict::kPass;
  }
  if (now < account.m_refused_until) {
    return VerdictWithoutToken(account, now);
  }
  // Where no keeper answered lately, requests do not wait for one that might.
  const bool is_asked = account.m_open || Ask(subject, account, 0, false, now);
  account.m_was_reached &= is_asked;
  if (account.m_was_reached) {
    account.m_waiting.push_back(request);
    return QuotaVerdict::kWait;
  }
  if (!account.m_alone) {
    account.m_alone.emplace(alone, now);
  }
  return VerdictWithoutToken(account, now);
}

void QuotaGate::Left(RequestId request, QuotaSubject subject) {
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
  if (now >= account.m_tokens_end) {
    account.m_tokens = 0;
    account.m_tokens_end = now + kTokenLife;
  }
  ++account.m_tokens;
}

std::vector<QuotaQuestion> QuotaGate::TakeQuestions() {
  return std::exchange(m_questions, {});
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
        (now < account.m_tokens_end ? account.m_tokens : 0) + grant.m_tokens;
    account.m_tokens_end = now + kTokenLife;
  }
  const bool is_awaited =
      account.m_open && account.m_open->m_number == grant.m_number;
  if (is_awaited) {
    Open open = *std::exchange(account.m_open, std::nullopt);
    if (grant.m_is_keeper) {
      open.m_was_reached = true;
      account.m_was_reached = true;
      account.m_alone.reset();
      account.m_wait = grant.m_wait;
    }
    ServeWaiting(account, now, outcomes);
    const bool is_short = grant.m_tokens < open.m_tokens;
    open.m_region += is_short ? 1 : 0;
    if (is_short || !account.m_waiting.empty()) {
      AskNext(grant.m_subject, account, open, now, outcomes);
    }
    return outcomes;
  }
  ServeWaiting(account, now, outcomes);
  return outcomes;
}

std::vector<QuotaOutcome> QuotaGate::Tick(TimePoint now) {
  std::vector<QuotaOutcome> outcomes;
  while (!m_asked.empty() && now - m_asked.front().m_at >= kAnswerTimeout) {
    const Asked asked = m_asked.front();
    m_asked.pop_front();
    const auto it = m_accounts.find(asked.m_subject);
    const bool is_silent = it != m_accounts.end() && it->second.m_open &&
                           it->second.m_open->m_number == asked.m_number;
    if (!is_silent) {
      continue;
    }
    Account& account = it->second;
    Open open = *std::exchange(account.m_open, std::nullopt);
    m_silent[open.m_keeper] = now + kSilence;
    ++open.m_region;
    AskNext(asked.m_subject, account, open, now, outcomes);
  }
  std::erase_if(m_silent, [now](const auto& one) { return now >= one.second; });
  ForgetUnused(now);
  return outcomes;
}

void QuotaGate::ForgetUnused(TimePoint now) {
  if (now - m_swept < kSweepInterval) {
    return;
  }
  m_swept = now;
  std::erase_if(m_accounts, [now](const auto& one) {
    const Account& account = one.second;
    return account.m_waiting.empty() && now - account.m_arrived > kUnusedFor;
  });
}

Duration QuotaGate::ComeBackAfter(QuotaSubject subject) const {
  const auto it = m_accounts.find(subject);
  const bool is_known = it != m_accounts.end() && it->second.m_was_reached;
  return is_known ? it->second.m_wait : kOutOfReachWait;
}

bool QuotaGate::IsRefused(QuotaSubject subject, TimePoint now) const {
  const auto it = m_accounts.find(subject);
  if (it == m_accounts.end()) {
    return false;
  }
  const Account& account = it->second;
  const bool has_tokens = account.m_tokens > 0 && now < account.m_tokens_end;
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
  const double passed = ToMilliseconds(now - account.m_arrived);
  account.m_recent =
      account.m_recent * std::exp(-passed / ToMilliseconds(kRateSpan)) + 1;
  account.m_arrived = now;
}

uint32_t QuotaGate::TokensAhead(const Account& account) const {
  return static_cast<uint32_t>(account.m_recent * ToMilliseconds(kAhead) /
                               ToMilliseconds(kRateSpan));
}

bool QuotaGate::TakeToken(Account& account, TimePoint now) const {
  if (account.m_tokens == 0 || now >= account.m_tokens_end) {
    return false;
  }
  --account.m_tokens;
  return true;
}

bool QuotaGate::Ask(QuotaSubject subject,
                    Account& account,
                    size_t region,
                    bool was_reached,
                    TimePoint now) {
  for (; region < m_regions.size(); ++region) {
    const std::string& keeper =
        m_directory.KeeperIn(m_regions[region], subject);
    if (keeper.empty() || m_silent.contains(keeper)) {
      continue;
    }
    const auto wanted = static_cast<uint32_t>(
        std::max<size_t>(1, account.m_waiting.size()) + TokensAhead(account));
    account.m_open = Open{m_next_number, wanted, keeper, region, was_reached};
    m_asked.push_back({subject, m_next_number, now});
    m_questions.push_back({keeper,
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

void QuotaGate::AskNext(QuotaSubject subject,
                        Account& account,
                        const Open& before,
                        TimePoint now,
                        std::vector<QuotaOutcome>& outcomes) {
  const bool is_asked =
      Ask(subject, account, before.m_region, before.m_was_reached, now);
  if (!is_asked) {
    account.m_was_reached = before.m_was_reached;
    RefuseWaiting(account, now, outcomes);
  }
}

void QuotaGate::RefuseWaiting(Account& account,
                              TimePoint now,
                              std::vector<QuotaOutcome>& outcomes) {
  if (account.m_tokens == 0) {
    account.m_refused_until = now + kRefusalHolds;
  }
  for (const RequestId request : account.m_waiting) {
    outcomes.push_back({request, VerdictWithoutToken(account, now)});
  }
  account.m_waiting.clear();
}

QuotaVerdict QuotaGate::VerdictWithoutToken(Account& account,
                                            TimePoint now) const {
  if (account.m_was_reached) {
    return QuotaVerdict::kOver;
  }
  const bool may_pass = account.m_alone && account.m_alone->Take(1, now) > 0;
  return may_pass ? QuotaVerdict::kPass : QuotaVerdict::kOutOfReach;
}

}  // namespace sorrelplank
