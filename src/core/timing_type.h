/// @file timing_type.h Intervals of the protocol between entry VMs.

#ifndef SORRELPLANK_CORE_TIMING_TYPE_H_
#define SORRELPLANK_CORE_TIMING_TYPE_H_

#include "core/time_type.h"

namespace sorrelplank {

/// Time between two heartbeats of one entry VM.
inline constexpr Duration kHeartbeatInterval = milliseconds(300);
/// Silence after which an entry VM of the same place counts as dead.
inline constexpr Duration kSiblingTimeout = milliseconds(1200);
/// The same for an entry VM of another place; its records take two hops.
inline constexpr Duration kRemoteTimeout = milliseconds(2200);
/// Silence after which the backend servers of a holder may be taken over.
inline constexpr Duration kTakeoverTimeout = milliseconds(3000);
/// A holder whose own clock jumps by more than this was paused. Half of the
/// takeover timeout, so that it stops dispatching before a new holder may
/// start.
inline constexpr Duration kPauseLimit = kTakeoverTimeout / 2;
/// A backend server notices a deadline or a closed connection at most this much
/// later than the entry VM; its slot counts as taken until then.
inline constexpr Duration kAbortGrace = milliseconds(20);
/// Silence after which an entry VM is removed from the membership.
inline constexpr Duration kMemberExpiry = seconds(120);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_TIMING_TYPE_H_
