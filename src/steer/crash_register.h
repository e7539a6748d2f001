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

namespace sorrelplank {

/// Decides which requests are held back because they crash backend servers.
///
/// Load pattern: a caller repeats a request that crashes each server that runs
/// it, through any entry VM; servers restart within seconds and crash again. A
/// crash also hits the other requests at the server, so a single crash is weak
/// evidence. A request is held back after `kCrashesToHoldBack` crashes without
/// a response in between.
///
/// Takes records of all entry VMs in any order; each run counts once.
class CrashRegister {
 public:
  /// Crashes after which a request is held back.
  static constexpr size_t kCrashesToHoldBack = 3;

  /// Effect of a new record.
  enum class Change {
    kNone,       ///< The record was known.
    kSuspected,  ///< One more crash counts for the request.
    kHeld,       ///< The request is held back from now on.
  };

  /// Adds a record of the given age.
  Change Add(const CrashRecord& record, Duration age, TimePoint now);
  /// Removes one record.
  void Remove(const CrashRecord& record);
  /// Removes and returns all records of a request. Called when a server answers
  /// it, which shows that it does not crash servers.
  std::vector<CrashRecord> Clear(const RequestDigest& digest);

  /// Crashes during the request that have not expired.
  size_t CrashCount(const RequestDigest& digest, TimePoint now) const;
  bool IsHeldBack(const RequestDigest& digest, TimePoint now) const;
  /// Time until the request is no longer held back; zero if it is not.
  Duration HeldBackTimeLeft(const RequestDigest& digest, TimePoint now) const;

  /// Removes and returns expired records, so that the caller removes them from
  /// the store. `spread`, 0 to 1, delays this per VM; all VMs would otherwise
  /// remove them at the same moment.
  std::vector<CrashRecord> TakeExpired(double spread, TimePoint now);

  size_t SuspectCount() const { return m_suspects.size(); }
  size_t HeldBackCount(TimePoint now) const;

 private:
  struct Suspect {
    /// Time of the crash, by run.
    std::map<std::string, TimePoint> m_crash_times;

    TimePoint LastCrash() const;
    /// When the records expire.
    TimePoint ExpiresAt() const;
  };

  void DropOldest();

  std::unordered_map<RequestDigest, Suspect> m_suspects;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_CRASH_REGISTER_H_
