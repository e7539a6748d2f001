/// @file kept_connections.cc The server's limit, divided over the VMs.

#include <algorithm>

#include "steer/kept_connections_func.h"

namespace sorrelplank {

namespace {

/// No server has more slots for one VM to use at once; more would stay idle.
constexpr size_t kMostForOneVm = 16;
/// Part of a server's limit that idle connections may take; the rest is for
/// those in use. A server resets what goes beyond its limit, also a connection
/// with a request on it, and nobody knows then whether the request ran.
constexpr double kIdlePart = 0.5;

}  // namespace

size_t MostKeptConnections(uint32_t server_limit, size_t vms) {
  if (server_limit == 0) {
    return kMostForOneVm;
  }
  const double part =
      server_limit * kIdlePart / static_cast<double>(std::max<size_t>(1, vms));
  return std::min(kMostForOneVm, static_cast<size_t>(part));
}

}  // namespace sorrelplank
