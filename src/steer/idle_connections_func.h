/// @file idle_connections_func.h Limit on idle connections to a backend server.

#ifndef SORRELPLANK_STEER_IDLE_CONNECTIONS_FUNC_H_
#define SORRELPLANK_STEER_IDLE_CONNECTIONS_FUNC_H_

#include <cstddef>
#include <cstdint>

namespace sorrelplank {

/// Maximum of idle connections that each of `vms` entry VMs may keep to one
/// backend server. `server_limit` is the number of connections that the server
/// accepts from all callers together; 0: no limit.
size_t MaxIdleConnections(uint32_t server_limit, size_t vms);

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_IDLE_CONNECTIONS_FUNC_H_
