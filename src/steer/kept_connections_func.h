/// @file kept_connections_func.h How many idle connections a VM may keep.

#ifndef SORRELPLANK_STEER_KEPT_CONNECTIONS_FUNC_H_
#define SORRELPLANK_STEER_KEPT_CONNECTIONS_FUNC_H_

#include <cstddef>
#include <cstdint>

namespace sorrelplank {

/// Idle connections that one of so many entry VMs may keep to one backend
/// server, where the server bears a number of connections from all callers
/// together; 0 for the limit means that it names none.
size_t MostKeptConnections(uint32_t server_limit, size_t vms);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_KEPT_CONNECTIONS_FUNC_H_
