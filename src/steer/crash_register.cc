/// @file crash_register.cc Counting and expiry of crashes.

#include "steer/crash_register.h"

#include <algorithm>
#include <utility>

namespace sorrelplank {

namespace {

/// How long crashes count, from the latest one, unless they prove that the
/// request causes them. Callers give up long before; a request repeated less
/// often than this crashes few servers.
constexpr Duration kSuspicionDuration = std::chrono::minutes(10);
/// How long a request is held back after that, from its latest crash. Retried
/// every few minutes, it would crash servers all day.
constexpr Duration kHoldBackDuration = std::chrono::hours(24);
/// The VMs spread the removal of expired records over this time.
constexpr Duration kRemovalSpread = std::chrono::minutes(10);
/// Allowance for the clocks of different VMs when their sightings are compared.
constexpr Duration kClockTolerance = milliseconds(250);
/// A response refutes crashes up to this long after it. What a request does to
/// servers may change, for example with the data that it reads.
constexpr Duration kAnswerRefutes = seconds(2);
/// Pause before a trial, from the latest crash; it grows with each trial that
/// did not end the hold.
constexpr Duration kTrialPause = seconds(2);
constexpr uint32_t kTrialPauseGrowth = 4;
/// Trials of a request that is held back, so that few servers crash even if
/// each trial crashes one unnoticed.
constexpr size_t kMaxTrials = 3;
/// Maximum number of tracked requests, a few hundred bytes each.
constexpr size_t kMaxSuspects = 4096;

}  // namespace

TimePoint CrashRegister::Suspect::LastCrash() const {
  return std::max_element(m_crashes.begin(), m_crashes.end(),
                          [](const auto& one, const auto& other) {
                            return one.second.m_lost < other.second.m_lost;
                          })
      ->second.m_lost;
}

void CrashRegister::Suspect::CountSuccessive() {
  std::vector<const Crash*> crashes;
  for (const auto& [run, crash] : m_crashes) {
    crashes.push_back(&crash);
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const Crash* one, const Crash* other) {
              return one->m_lost < other->m_lost;
            });
  const Crash* counted = nullptr;
  m_successive = 0;
  for (const Crash* crash : crashes) {
    const bool is_same_clock =
        counted == nullptr || crash->m_observer == counted->m_observer;
    const Duration tolerance =
        is_same_clock ? Duration::zero() : kClockTolerance;
    if (counted == nullptr || crash->m_sent >= counted->m_lost + tolerance) {
      counted = crash;
      ++m_successive;
    }
  }
}

TimePoint CrashRegister::Suspect::ExpiresAt() const {
  return LastCrash() + (IsProven() ? kHoldBackDuration : kSuspicionDuration);
}

CrashRegister::Change CrashRegister::Add(const CrashRecord& record,
                                         const CrashSighting& sighting,
                                         TimePoint now) {
  const TimePoint lost = now - sighting.m_age;
  const auto answer = m_answers.Last(record.m_digest);
  if (answer && lost <= *answer + kAnswerRefutes) {
    return Change::kRefuted;
  }
  const size_t before = CrashCount(record.m_digest, now);
  Suspect& suspect = m_suspects[record.m_digest];
  suspect.m_crashes.try_emplace(record.m_run, Crash{lost - sighting.m_under_way,
                                                    lost, sighting.m_observer});
  suspect.CountSuccessive();
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
  it->second.m_crashes.erase(record.m_run);
  it->second.CountSuccessive();
  if (it->second.m_crashes.empty()) {
    m_suspects.erase(it);
  }
}

std::vector<CrashRecord> CrashRegister::NoteAnswer(const RequestDigest& digest,
                                                   TimePoint now) {
  m_answers.Note(digest, now);
  return Clear(digest);
}

std::vector<CrashRecord> CrashRegister::Clear(const RequestDigest& digest) {
  std::vector<CrashRecord> records;
  const auto it = m_suspects.find(digest);
  if (it == m_suspects.end()) {
    return records;
  }
  for (const auto& [run, crash] : it->second.m_crashes) {
    records.push_back({digest, run});
  }
  m_suspects.erase(it);
  return records;
}

size_t CrashRegister::CrashCount(const RequestDigest& digest,
                                 TimePoint now) const {
  const auto it = m_suspects.find(digest);
  if (it == m_suspects.end() || it->second.m_crashes.empty() ||
      now >= it->second.ExpiresAt()) {
    return 0;
  }
  return it->second.m_crashes.size();
}

bool CrashRegister::IsHeldBack(const RequestDigest& digest,
                               TimePoint now) const {
  return CrashCount(digest, now) >= kCrashesToHoldBack;
}

Duration CrashRegister::HeldBackTimeLeft(const RequestDigest& digest,
                                         TimePoint now) const {
  if (!IsHeldBack(digest, now)) {
    return Duration::zero();
  }
  const Suspect& suspect = m_suspects.at(digest);
  if (suspect.IsProven() || suspect.m_trials >= kMaxTrials) {
    return suspect.ExpiresAt() - now;
  }
  return std::max<Duration>(suspect.NextTrial() - now, kTrialPause);
}

TimePoint CrashRegister::LastCrash(const RequestDigest& digest) const {
  return m_suspects.at(digest).LastCrash();
}

TimePoint CrashRegister::Suspect::NextTrial() const {
  Duration pause = kTrialPause;
  for (size_t trial = 0; trial < m_trials; ++trial) {
    pause *= kTrialPauseGrowth;
  }
  return std::max(LastCrash() + kTrialPause,
                  m_trials == 0 ? TimePoint::min() : m_last_trial + pause);
}

bool CrashRegister::IsTrialDue(const RequestDigest& digest,
                               TimePoint now) const {
  if (!IsHeldBack(digest, now)) {
    return false;
  }
  const Suspect& suspect = m_suspects.at(digest);
  return !suspect.IsProven() && suspect.m_trials < kMaxTrials &&
         now >= suspect.NextTrial();
}

void CrashRegister::NoteTrial(const RequestDigest& digest, TimePoint now) {
  Suspect& suspect = m_suspects.at(digest);
  ++suspect.m_trials;
  suspect.m_last_trial = now;
}

void CrashRegister::UndoTrial(const RequestDigest& digest) {
  const auto it = m_suspects.find(digest);
  if (it != m_suspects.end() && it->second.m_trials > 0) {
    --it->second.m_trials;
  }
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
