/// @file crashing_requests.h Requests that end each server that runs them, and
/// what must hold of them.

#ifndef SORRELPLANK_SOAK_CRASHING_REQUESTS_H_
#define SORRELPLANK_SOAK_CRASHING_REQUESTS_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core/time_type.h"

namespace sorrelplank::soak {

class Ledger;

/// One process of an entry VM: its name and how often it was started.
struct VmLife {
  std::string m_vm;
  int m_starts = 0;

  auto operator<=>(const VmLife&) const = default;
};

/// Follows such requests by their path.
///
/// Without a clock: a process that saw three servers end under a request sends
/// it to none. With one: all calm VMs together send it three more times at the
/// most, later than the contact time after the third end.
class CrashingRequests {
 public:
  explicit CrashingRequests(Ledger& ledger) : m_ledger(ledger) {}

  static bool Ends(const std::string& path);

  /// An attempt begins at a process.
  void Asked(const std::string& id, const std::string& path, VmLife life);
  /// A server begins to run the attempt; calm: the VM is in touch with all
  /// else.
  void Runs(const std::string& id, bool is_calm, TimePoint now);
  /// A server ended under it; is_told: one that the VMs take for serving, so
  /// that nothing else explains its end.
  void Ended(const std::string& id, bool is_told, TimePoint now);
  /// The process answered the attempt, and was not paused meanwhile: it knows
  /// what came of it.
  void Answered(const std::string& id);

  size_t ServersEnded() const { return m_servers_ended; }

 private:
  struct Attempt {
    std::string m_path;
    VmLife m_life;
    size_t m_ends = 0;
    /// Its process had seen three ends before it began.
    bool m_is_known_to_end = false;
  };
  struct Request {
    size_t m_ends = 0;
    TimePoint m_third_end = TimePoint::max();
    size_t m_late_runs = 0;
    /// Ends that each process knows of.
    std::map<VmLife, size_t> m_known;
  };

  Ledger& m_ledger;
  std::map<std::string, Attempt> m_attempts;
  std::map<std::string, Request> m_requests;
  size_t m_servers_ended = 0;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_CRASHING_REQUESTS_H_
