/// @file safeguards_type.h Switches that disable single safeguards in tests.

#ifndef SORRELPLANK_CORE_SAFEGUARDS_TYPE_H_
#define SORRELPLANK_CORE_SAFEGUARDS_TYPE_H_

namespace sorrelplank {

/// All are on in production. The randomised runs turn one off and must then
/// find the violation that it prevents; otherwise the run would prove nothing.
struct Safeguards {
  /// A new holder waits for the takeover timeout after the last heartbeat of
  /// the former one.
  bool m_takeover_wait = true;
  /// A holder that was paused stops dispatching until it has heard its
  /// siblings.
  bool m_pause_fence = true;
  /// Non-idempotent requests are retried only after "not run".
  bool m_retry_only_not_run = true;
  /// Requests from other places count against the shift cap.
  bool m_shift_cap = true;
  /// A share of the slots is kept free of callers from other regions.
  bool m_home_reserve = true;
  /// Leaving places and backend servers get no new requests.
  bool m_leaving_stops = true;
  /// Keys of non-idempotent requests are remembered.
  bool m_key_memory = true;
  /// Slots of aborted requests stay taken for kAbortGrace.
  bool m_abort_grace = true;
  /// Configuration versions below one already installed are refused.
  bool m_version_floor = true;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_SAFEGUARDS_TYPE_H_
