/// @file backend_assignment_func.h Assignment of backend servers to entry VMs.

#ifndef SORRELPLANK_CORE_BACKEND_ASSIGNMENT_FUNC_H_
#define SORRELPLANK_CORE_BACKEND_ASSIGNMENT_FUNC_H_

#include <unordered_map>
#include <vector>

#include "core/ids_type.h"
#include "core/snapshot_type.h"

namespace sorrelplank {

/// Assigns the backend servers of a place to its entry VMs.
///
/// The assignment is even per service: the server counts of two VMs differ by
/// one at most. Within that bound a server goes to the VM with the highest hash
/// of the pair (rendezvous hashing), so that a membership change moves few
/// servers.
std::unordered_map<NameHash, VmName> AssignBackends(
    const Snapshot& snapshot,
    PlaceId place,
    const std::vector<VmName>& vms);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_BACKEND_ASSIGNMENT_FUNC_H_
