/// @file retry_extra_share.h One entry VM's share of the fixed extra of retry
/// budgets.

#ifndef SORRELPLANK_STEER_RETRY_EXTRA_SHARE_H_
#define SORRELPLANK_STEER_RETRY_EXTRA_SHARE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/time_type.h"

namespace sorrelplank {

/// Fraction of the fixed extra that this VM may use for a service within any
/// window.
///
/// The extra applies to all VMs together, and servers count all retries of a
/// window, also those of processes that have ended since. A process cannot know
/// what its predecessors spent, so its share grows with its age: processes that
/// follow each other within a window have one share in total, besides that of
/// the first. VMs that have left the store spent their shares within the
/// window, so the extra is divided by the most VMs known in it.
class RetryExtraShare {
 public:
  explicit RetryExtraShare(Duration window) : m_window(window) {}

  /// Sets the number of VMs that the store lists. The share grows from the
  /// first call on.
  void SetVms(size_t vms, TimePoint now);

  /// Between 0 and 1; 0 before the first call of SetVms().
  double Fraction(TimePoint now) const;

 private:
  /// A number of VMs that was listed before, and when that is a window ago.
  struct PastCount {
    size_t m_vms = 0;
    TimePoint m_until{};
  };

  Duration m_window;
  std::optional<TimePoint> m_started;
  size_t m_vms = 0;
  /// Earlier counts that were larger than the ones after them.
  std::vector<PastCount> m_past;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_RETRY_EXTRA_SHARE_H_
