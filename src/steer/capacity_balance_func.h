/// @file capacity_balance_func.h Whether a service's capacity is spread evenly
/// over the regions.

#ifndef SORRELPLANK_STEER_CAPACITY_BALANCE_FUNC_H_
#define SORRELPLANK_STEER_CAPACITY_BALANCE_FUNC_H_

#include <vector>

#include "core/time_type.h"

namespace sorrelplank {

/// Whether, of the regions with slots, the one with the most has at least
/// `ratio` times as many as the one with the fewest. Regions without slots do
/// not count: a service that is absent from a region, or lost there, is not
/// uneven. With a ratio of 0, none is.
///
/// Load pattern: callers are spread evenly over regions, servers are not. The
/// demand of a region with few servers then exceeds its slots at usual load, so
/// queues, moved objects and full servers are the normal state, and decisions
/// made for occasional overload are too slow.
bool IsCapacityUneven(const std::vector<double>& slots_by_region, double ratio);

/// Whether the requests of an uneven service may run in any region alike, given
/// the shortest target latency of its routes. A request that runs in another
/// region loses the round trip there.
bool MayRunInAnyRegion(Duration shortest_target);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_CAPACITY_BALANCE_FUNC_H_
