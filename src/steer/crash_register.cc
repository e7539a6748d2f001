/// @file crash_register.cc Counting and expiry of crashes.

#include "steer/crash_register.h"

#include <algorithm>
#include <utility>

namespace sorrelplank {

namespace {

/// How long crashes count for a request that is not held back, from the latest
/// one. Callers give up long before; a request repeated less often than this
/// crashes few servers.
constexpr Duration kSuspicionDuration = std::chrono::minutes(10);
/// How long a request is held back, from its latest crash. Retried every few
/// minutes, it would crash servers all day.
constexpr Duration kHoldBackDuration = std::chrono::hours(24);
/// The VMs spread the removal of expired records over this time.
constexpr Duration kRemovalSpread = std::chrono::minutes(10);
/// Maximum number of tracked requests, a few hundred bytes each.
constexpr size_t kMaxSuspects = 4096;

}  // namespace

TimePoint CrashRegister::Suspect::LastCrash() const {
  return std::max_element(m_crash_times.begin(), m_crash_times.end(),
                          [](const auto& one, const auto& other) {
                            return one.second < other.second;
                          })
      ->second;
}

TimePoint CrashRegister::Suspect::ExpiresAt() const {
  const bool is_held = m_crash_times.size() >= kCrashesToHoldBack;
  return LastCrash() + (is_held ? kHoldBackDuration : kSuspicionDuration);
}

CrashRegister::Change CrashRegister::Add(const CrashRecord& record,
                                         Duration age,
                                         TimePoint now) {
  const size_t before = CrashCount(record.m_digest, now);
  Suspect& suspect = m_suspects[record.m_digest];
  suspect.m_crash_times.try_emplace(record.m_run, now - age);
  const size_t after = CrashCount(record.m_digest, now);
  if (m_suspects.size() > kMaxSuspects) {
    DropOldest();
  }
  if (after <= before) {
    return Change::kNone;
  }
  return before < kCrashesToHoldBack && after >= kCrashesToHoldBack
             ? Change::kHeld
             : Change::kSuspected;
}

void CrashRegister::Remove(const CrashRecord& record) {
  const auto it = m_suspects.find(record.m_digest);
  if (it == m_suspects.end()) {
    return;
  }
  it->second.m_crash_times.erase(record.m_run);
  if (it->second.m_crash_times.empty()) {
    m_suspects.erase(it);
  }
}

std::vector<CrashRecord> CrashRegister::Clear(const RequestDigest& digest) {
  std::vector<CrashRecord> records;
  const auto it = m_suspects.find(digest);
  if (it == m_suspects.end()) {
    return records;
  }
  for (const auto& [run, time] : it->second.m_crash_times) {
    records.push_back({digest, run});
  }
  m_suspects.erase(it);
  return records;
}

size_t CrashRegister::CrashCount(const RequestDigest& digest,
                                 TimePoint now) const {
  const auto it = m_suspects.find(digest);
  if (it == m_suspects.end() || it->second.m_crash_times.empty() ||
      now >= it->second.ExpiresAt()) {
    return 0;
  }
  return it->second.m_crash_times.size();
}

bool CrashRegister::IsHeldBack(const RequestDigest& digest,
                               TimePoint now) const {
  return CrashCount(digest, now) >= kCrashesToHoldBack;
}

Duration CrashRegister::HeldBackTimeLeft(const RequestDigest& digest,
                                         TimePoint now) const {
  return IsHeldBack(digest, now) ? m_suspects.at(digest).ExpiresAt() - now
                                 : Duration::zero();
}

std::vector<CrashRecord> CrashRegister::TakeExpired(double spread,
                                                    TimePoint now) {
  const auto delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(kRemovalSpread) * spread);
  std::vector<RequestDigest> expired;
  for (const auto& [digest, suspect] : m_suspects) {
    if (now >= suspect.ExpiresAt() + delay) {
      expired.push_back(digest);
    }
  }
  std::vector<CrashRecord> records;
  for (const RequestDigest& digest : expired) {
    std::vector<CrashRecord> expired_records = Clear(digest);
    std::move(expired_records.begin(), expired_records.end(),
              std::back_inserter(records));
  }
  return records;
}

size_t CrashRegister::HeldBackCount(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      m_suspects.begin(), m_suspects.end(),
      [&](const auto& entry) { return IsHeldBack(entry.first, now); }));
}

void CrashRegister::DropOldest() {
  // Held back requests are certain to crash servers; they expire last and so
  // are dropped last.
  const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(),
                                       [](const auto& one, const auto& other) {
                                         return one.second.ExpiresAt() <
                                                other.second.ExpiresAt();
                                       });
  m_suspects.erase(oldest);
}

}  // namespace sorrelplank
