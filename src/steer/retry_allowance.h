/// @file retry_allowance.h This entry VM's part of a service's retry budget.

#ifndef SORRELPLANK_STEER_RETRY_ALLOWANCE_H_
#define SORRELPLANK_STEER_RETRY_ALLOWANCE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time_type.h"

namespace sorrelplank {

/// Bounds second sends over a sliding window by the requests of that window.
///
/// The budget holds over all entry VMs. Each VM spends by its own requests,
/// which sum to the whole, and has an equal part of the fixed extra; so the
/// parts stay within the whole without any exchange of counts.
class RetryAllowance {
 public:
  explicit RetryAllowance(Duration window);

  /// Counts a request's first send.
  void CountRequest(TimePoint now);

  /// Counts a second send if the limits allow it; to be called before sending.
  bool TrySpend(double ratio, double extra, TimePoint now);

 private:
  static constexpr size_t kTicks = 20;

  /// Requests and second sends in one twentieth of the window.
  struct Tick {
    uint32_t m_requests = 0;
    uint32_t m_resends = 0;
  };

  void Roll(TimePoint now);

  Duration m_tick_length;
  int64_t m_tick = 0;
  std::array<Tick, kTicks> m_ticks{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_RETRY_ALLOWANCE_H_
