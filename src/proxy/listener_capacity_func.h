/// @file listener_capacity_func.h Connections that each listener may hold.

#ifndef SORRELPLANK_PROXY_LISTENER_CAPACITY_FUNC_H_
#define SORRELPLANK_PROXY_LISTENER_CAPACITY_FUNC_H_

#include <cstddef>
#include <cstdint>

#include "net/http_limits_type.h"

namespace sorrelplank {

enum class Listener : uint8_t {
  kClients,
  kDirectory,
  kPeers,  ///< Requests that other entry VMs pass on.
  kFeed,   ///< Queries of other entry VMs.
  kReady,
  kMetrics,
};

/// Resources of the process that all listeners share.
struct ProcessLimits {
  size_t m_descriptors = 0;
  /// Zero if it is unknown.
  size_t m_memory_bytes = 0;
};

/// What the connections of a listener may take. The rest of the descriptors is
/// for connections to backend servers, the store and other entry VMs.
HttpCapacity CapacityOf(Listener listener, const ProcessLimits& limits);

/// Descriptors that this process may open: the system's limit, or the smaller
/// one of the settings; zero there means that none is set. Throws
/// std::system_error if the system does not tell its limit.
size_t DescriptorLimit(size_t configured);

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_LISTENER_CAPACITY_FUNC_H_
