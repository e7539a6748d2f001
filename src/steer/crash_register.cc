/// @file crash_register.cc Counting ends and forgetting them.

#include "steer/crash_register.h"

#include <algorithm>
#include <utility>

namespace sorrelplank {

namespace {

/// How long an end counts under a request that is not held back. Callers give
/// up long before; a request that comes less often costs few servers.
constexpr Duration kSuspicionLife = std::chrono::minutes(10);
/// How long a request is held back. Tried again every few minutes, it would end
/// servers all day.
constexpr Duration kHoldLife = std::chrono::hours(24);
/// Facts that expired are removed within this time.
constexpr Duration kRemovalSpread = std::chrono::minutes(10);
/// Requests that are remembered. Some hundred bytes each.
constexpr size_t kMostSuspects = 4096;

}  // namespace

TimePoint CrashRegister::Suspect::LastEnd() const {
  return std::max_element(m_ends.begin(), m_ends.end(),
                          [](const auto& one, const auto& other) {
                            return one.second < other.second;
                          })
      ->second;
}

TimePoint CrashRegister::Suspect::CountsUntil() const {
  const bool is_held = m_ends.size() >= kEndsToHold;
  return LastEnd() + (is_held ? kHoldLife : kSuspicionLife);
}

CrashRegister::Change CrashRegister::Note(const CrashFact& fact,
                                          Duration age,
                                          TimePoint now) {
  const size_t before = Ends(fact.m_digest, now);
  Suspect& suspect = m_suspects[fact.m_digest];
  suspect.m_ends.try_emplace(fact.m_run, now - age);
  const size_t after = Ends(fact.m_digest, now);
  if (m_suspects.size() > kMostSuspects) {
    DropOldest();
  }
  if (after <= before) {
    return Change::kNone;
  }
  return before < kEndsToHold && after >= kEndsToHold ? Change::kHeld
                                                      : Change::kSuspected;
}

void CrashRegister::Remove(const CrashFact& fact) {
  const auto it = m_suspects.find(fact.m_digest);
  if (it == m_suspects.end()) {
    return;
  }
  it->second.m_ends.erase(fact.m_run);
  if (it->second.m_ends.empty()) {
    m_suspects.erase(it);
  }
}

std::vector<CrashFact> CrashRegister::Clear(const RequestDigest& digest) {
  std::vector<CrashFact> facts;
  const auto it = m_suspects.find(digest);
  if (it == m_suspects.end()) {
    return facts;
  }
  for (const auto& [run, time] : it->second.m_ends) {
    facts.push_back({digest, run});
  }
  m_suspects.erase(it);
  return facts;
}

size_t CrashRegister::Ends(const RequestDigest& digest, TimePoint now) const {
  const auto it = m_suspects.find(digest);
  if (it == m_suspects.end() || it->second.m_ends.empty() ||
      now >= it->second.CountsUntil()) {
    return 0;
  }
  return it->second.m_ends.size();
}

bool CrashRegister::IsHeld(const RequestDigest& digest, TimePoint now) const {
  return Ends(digest, now) >= kEndsToHold;
}

Duration CrashRegister::HeldFor(const RequestDigest& digest,
                                TimePoint now) const {
  return IsHeld(digest, now) ? m_suspects.at(digest).CountsUntil() - now
                             : Duration::zero();
}

std::vector<CrashFact> CrashRegister::TakeExpired(double spread,
                                                  TimePoint now) {
  const auto delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(kRemovalSpread) * spread);
  std::vector<RequestDigest> expired;
  for (const auto& [digest, suspect] : m_suspects) {
    if (now >= suspect.CountsUntil() + delay) {
      expired.push_back(digest);
    }
  }
  std::vector<CrashFact> facts;
  for (const RequestDigest& digest : expired) {
    std::vector<CrashFact> of_one = Clear(digest);
    std::move(of_one.begin(), of_one.end(), std::back_inserter(facts));
  }
  return facts;
}

size_t CrashRegister::HeldCount(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      m_suspects.begin(), m_suspects.end(),
      [&](const auto& entry) { return IsHeld(entry.first, now); }));
}

void CrashRegister::DropOldest() {
  // Those that are held back end servers for certain; they are dropped last.
  const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(),
                                       [](const auto& one, const auto& other) {
                                         return one.second.CountsUntil() <
                                                other.second.CountsUntil();
                                       });
  m_suspects.erase(oldest);
}

}  // namespace sorrelplank
