/// @file listener_capacity.cc Division of descriptors and memory.

#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <system_error>

#include "proxy/listener_capacity_func.h"

namespace sorrelplank {

namespace {

/// Fractions of the process's limits for one listener.
struct ListenerShare {
  Listener m_listener;
  double m_descriptors;
  /// For connections without their requests.
  double m_connection_memory;
  /// For heads that are not complete.
  double m_head_memory;
};

constexpr ListenerShare kShares[] = {
    {Listener::kClients, 0.5, 0.16, 0.04},
    {Listener::kDirectory, 0.125, 0.04, 0.01},
    {Listener::kPeers, 0.0625, 0.02, 0.01},
    {Listener::kFeed, 0.0625, 0.02, 0.01},
    {Listener::kReady, 0.0156, 0.005, 0.005},
    {Listener::kMetrics, 0.0156, 0.005, 0.005},
};

/// Memory of a connection: its buffer, its parser, and what the kernel holds
/// of bytes that have not been read.
constexpr size_t kConnectionBytes = size_t{24} * 1024;
/// Connections that a listener may always hold.
constexpr size_t kMinConnections = 4;

size_t Part(size_t whole, double fraction) {
  return static_cast<size_t>(static_cast<double>(whole) * fraction);
}

}  // namespace

HttpCapacity CapacityOf(Listener listener, const ProcessLimits& limits) {
  const ListenerShare& share = *std::find_if(
      std::begin(kShares), std::end(kShares),
      [listener](const auto& one) { return one.m_listener == listener; });
  HttpCapacity capacity;
  capacity.m_max_connections = Part(limits.m_descriptors, share.m_descriptors);
  if (limits.m_memory_bytes != 0) {
    capacity.m_max_connections =
        std::min(capacity.m_max_connections,
                 Part(limits.m_memory_bytes, share.m_connection_memory) /
                     kConnectionBytes);
    capacity.m_max_head_bytes =
        Part(limits.m_memory_bytes, share.m_head_memory);
  }
  capacity.m_max_connections =
      std::max(capacity.m_max_connections, kMinConnections);
  return capacity;
}

size_t DescriptorLimit(size_t configured) {
  rlimit system{};
  if (getrlimit(RLIMIT_NOFILE, &system) != 0) {
    throw std::system_error(errno, std::generic_category(), "getrlimit");
  }
  const auto limit = static_cast<size_t>(system.rlim_cur);
  return configured == 0 ? limit : std::min(limit, configured);
}

}  // namespace sorrelplank
