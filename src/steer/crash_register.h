/// @file crash_register.h Requests that servers ended under.

#ifndef SORRELPLANK_STEER_CRASH_REGISTER_H_
#define SORRELPLANK_STEER_CRASH_REGISTER_H_

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time_type.h"
#include "steer/crash_fact_type.h"

namespace sorrelplank {

/// Decides which requests are held back because servers end when they run them.
///
/// Load pattern: a caller repeats a request that crashes each server that runs
/// it, at any entry VM; servers are back seconds later, and end again. A server
/// that ends takes other requests along, so one end says little of a request.
/// A request that was at `kEndsToHold` ends, without an answer in between, is
/// held back.
///
/// It holds facts of all entry VMs, in any order; each run counts once.
class CrashRegister {
 public:
  /// Ends of servers under one request after which no more are risked.
  static constexpr size_t kEndsToHold = 3;

  /// What a new fact has changed.
  enum class Change {
    kNone,       ///< It was known.
    kSuspected,  ///< One more server ended under the request.
    kHeld,       ///< And from now on it is held back.
  };

  /// Takes a fact that is as old as given.
  Change Note(const CrashFact& fact, Duration age, TimePoint now);
  /// The fact no longer counts.
  void Remove(const CrashFact& fact);
  /// The request was answered: it does not end servers. The facts that were
  /// known of it.
  std::vector<CrashFact> Clear(const RequestDigest& digest);

  /// Servers that ended under the request, as far as that still counts.
  size_t Ends(const RequestDigest& digest, TimePoint now) const;
  bool IsHeld(const RequestDigest& digest, TimePoint now) const;
  /// How much longer it is held back; zero if it is not.
  Duration HeldFor(const RequestDigest& digest, TimePoint now) const;

  /// Facts that no longer count, each told once. Which of them this VM removes
  /// from the store differs by its spread, 0 to 1, so that not all VMs do so at
  /// the same moment.
  std::vector<CrashFact> TakeExpired(double spread, TimePoint now);

  size_t SuspectCount() const { return m_suspects.size(); }
  size_t HeldCount(TimePoint now) const;

 private:
  struct Suspect {
    /// When each run ended.
    std::map<std::string, TimePoint> m_ends;

    TimePoint LastEnd() const;
    /// Until when the facts count.
    TimePoint CountsUntil() const;
  };

  void DropOldest();

  std::unordered_map<RequestDigest, Suspect> m_suspects;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_CRASH_REGISTER_H_
