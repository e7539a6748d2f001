/// @file start_gate.h Closes the clients' port of a VM without a routing table.

#ifndef SORRELPLANK_STEER_START_GATE_H_
#define SORRELPLANK_STEER_START_GATE_H_

#include "core/time_type.h"

namespace sorrelplank {

/// Maximum time that requests are held while the routing table and the servers
/// are read for the first time. Across regions, with all VMs starting at once,
/// reading takes up to 0.7 s.
constexpr Duration kMaxHoldTime = seconds(1);

/// Decides when a VM without a routing table opens and closes the clients'
/// port.
///
/// Load pattern: a VM restarts while the store is unavailable and cannot serve.
/// Clients spread over all VMs that they know, and a refused client retries at
/// any of them, this one included: with four of nine VMs restarted, 36 in 100
/// requests were refused in the worst two seconds, and 14 with the port closed.
/// A client whose connection is not accepted skips the address and goes to a VM
/// that can serve.
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
