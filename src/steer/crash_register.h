/// @file crash_register.h Tracks requests that crash backend servers.

#ifndef SORRELPLANK_STEER_CRASH_REGISTER_H_
#define SORRELPLANK_STEER_CRASH_REGISTER_H_

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time_type.h"
#include "steer/crash_record_type.h"
#include "steer/recent_answers.h"

namespace sorrelplank {

/// Decides which requests are held back because they crash backend servers.
///
/// Load pattern: a caller repeats a request that crashes each server that runs
/// it, through any entry VM; servers restart within seconds and crash again. A
/// crash also hits the other requests at the server, so a single crash is weak
/// evidence. A request is held back after `kCrashesToHoldBack` crashes without
/// a response in between.
///
/// Servers that end together, for example with their failure domain, end the
/// same request several times at once. So a response to it shortly before a
/// crash, or later, refutes the crash. If a request is held back and fewer than
/// `kCrashesToHoldBack` of its crashes came one after the other, a single run
/// may show that it crashes no server.
///
/// Takes records of all entry VMs in any order; each run counts once.
class CrashRegister {
 public:
  /// Crashes after which a request is held back.
  static constexpr size_t kCrashesToHoldBack = 3;

  /// Effect of a new record.
  enum class Change {
    kNone,       ///< The record was known.
    kRefuted,    ///< A server has answered the request since, or just before.
    kSuspected,  ///< One more crash counts for the request.
    kHeld,       ///< The request is held back from now on.
  };

  Change Add(const CrashRecord& record,
             const CrashSighting& sighting,
             TimePoint now);
  /// Removes one record.
  void Remove(const CrashRecord& record);
  /// A server has answered the request, which shows that it does not crash
  /// servers. Removes and returns its records.
  std::vector<CrashRecord> NoteAnswer(const RequestDigest& digest,
                                      TimePoint now);

  /// Crashes during the request that have not expired.
  size_t CrashCount(const RequestDigest& digest, TimePoint now) const;
  bool IsHeldBack(const RequestDigest& digest, TimePoint now) const;
  /// Time until the request may be sent again; zero if it is not held back.
  Duration HeldBackTimeLeft(const RequestDigest& digest, TimePoint now) const;
  /// The latest crash during a request that has records.
  TimePoint LastCrash(const RequestDigest& digest) const;

  /// Whether a request that is held back may be run once as a trial.
  bool IsTrialDue(const RequestDigest& digest, TimePoint now) const;
  /// A trial begins.
  void NoteTrial(const RequestDigest& digest, TimePoint now);
  /// The last trial was not run by any server.
  void UndoTrial(const RequestDigest& digest);

  /// Removes and returns expired records, so that the caller removes them from
  /// the store. `spread`, 0 to 1, delays this per VM; all VMs would otherwise
  /// remove them at the same moment.
  std::vector<CrashRecord> TakeExpired(double spread, TimePoint now);

  size_t SuspectCount() const { return m_suspects.size(); }
  size_t HeldBackCount(TimePoint now) const;

 private:
  /// Times at which a server got and lost the request.
  struct Crash {
    TimePoint m_sent;
    TimePoint m_lost;
    std::string m_observer;
  };
  struct Suspect {
    /// By run.
    std::map<std::string, Crash> m_crashes;
    /// Crashes one after the other: the request was sent to each of these
    /// servers after the one before had crashed.
    size_t m_successive = 0;
    size_t m_trials = 0;
    TimePoint m_last_trial = TimePoint::min();

    void CountSuccessive();
    /// Whether the crashes can't have a single other cause.
    bool IsProven() const { return m_successive >= kCrashesToHoldBack; }
    TimePoint LastCrash() const;
    TimePoint NextTrial() const;
    /// When the records expire.
    TimePoint ExpiresAt() const;
  };

  std::vector<CrashRecord> Clear(const RequestDigest& digest);
  void DropOldest();

  std::unordered_map<RequestDigest, Suspect> m_suspects;
  RecentAnswers m_answers;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_CRASH_REGISTER_H_
