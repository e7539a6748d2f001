/// @file idle_connections.cc Division of a server's connection limit over the
/// VMs.

#include <algorithm>

#include "steer/idle_connections_func.h"

namespace sorrelplank {

namespace {

/// No server has more slots than this for one VM; further connections would
/// never be used.
constexpr size_t kMaxPerVm = 16;
/// Fraction of a server's limit for idle connections; the rest is for those in
/// use. A server resets connections beyond its limit, even with a request on
/// them, and it is then unknown whether the request ran.
constexpr double kIdleFraction = 0.5;

}  // namespace

size_t MaxIdleConnections(uint32_t server_limit, size_t vms) {
  if (server_limit == 0) {
    return kMaxPerVm;
  }
  const double part = server_limit * kIdleFraction /
                      static_cast<double>(std::max<size_t>(1, vms));
  return std::min(kMaxPerVm, static_cast<size_t>(part));
}

}  // namespace sorrelplank
