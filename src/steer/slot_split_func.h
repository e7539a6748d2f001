/// @file slot_split_func.h Split of an uneven service's objects over regions.

#ifndef SORRELPLANK_STEER_SLOT_SPLIT_FUNC_H_
#define SORRELPLANK_STEER_SLOT_SPLIT_FUNC_H_

#include <cstddef>
#include <vector>

namespace sorrelplank {

/// Fractions of the objects of one region's callers that each region runs, so
/// that all slots are used alike if the regions' callers ask for the same. All
/// are 0 if there are no slots.
///
/// A region with the slots for its own callers keeps their requests but for
/// those that fill the small regions. A small region runs its fraction of the
/// slots; the rest goes where slots are left. The requests of any region then
/// run almost all in it or almost all elsewhere. Requests to other regions
/// arrive later, so that in a region with a balanced mix a change of traffic
/// would change the mix of arrivals for some seconds.
///
/// Where the small regions have too many slots for that, and for a region
/// without slots, each region runs its fraction of the slots.
std::vector<double> SplitBySlots(const std::vector<double>& slots, size_t own);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SLOT_SPLIT_FUNC_H_
