/// @file start_gate.h Whether a VM without a routing table takes connections.

#ifndef SORRELPLANK_STEER_START_GATE_H_
#define SORRELPLANK_STEER_START_GATE_H_

#include "core/time_type.h"

namespace sorrelplank {

/// Longest time that requests are held while the table and the servers are read
/// for the first time. Across regions, with all VMs starting at once, that took
/// up to 0.7 s.
constexpr Duration kMostHeld = seconds(1);

/// Opens and closes the clients' port of a VM that knows nothing yet.
///
/// Load pattern: a VM restarts while the store is away and can serve nothing.
/// Clients spread over all VMs that they know, and a client that is refused
/// comes back to any of them, this one too: with four of nine VMs restarted, 36
/// in 100 requests were refused in the worst two seconds, and 14 once the VMs
/// closed the port. A client whose connection is not taken leaves the address
/// out and goes to a VM that can serve.
class StartGate {
 public:
  enum class Step { kNone, kClose, kOpen };

  explicit StartGate(TimePoint started) : m_started(started) {}

  /// What to do with the port now. It stays open while requests are held.
  Step Update(bool has_table, TimePoint now);

  bool IsOpen() const { return m_is_open; }

 private:
  TimePoint m_started;
  bool m_is_open = true;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_START_GATE_H_
