/// @file domain_breaker.h Circuit breaker for an unreachable failure domain.

#ifndef SORRELPLANK_STEER_DOMAIN_BREAKER_H_
#define SORRELPLANK_STEER_DOMAIN_BREAKER_H_

#include <set>
#include <string>

#include "core/time_type.h"

namespace sorrelplank {

/// A circuit breaker over the backend servers of one failure domain.
///
/// Load pattern: a domain loses power or is cut off. Without the breaker each
/// of its servers would be found unreachable by a separate request, which waits
/// for the connect timeout. In large fleets a VM sends to one of these servers
/// every few seconds, so that takes longer than the failure lasts. Several
/// unreachable servers, with none reached in between, open the breaker for the
/// whole domain.
class DomainBreaker {
 public:
  /// Counts a failed connection to the instance. Returns true if this opened
  /// the breaker.
  bool CountConnectFailure(const std::string& instance, TimePoint now);

  /// Counts a request that a server of the domain accepted. Returns true if
  /// this closed the breaker.
  bool CountConnectSuccess();

  /// Whether requests must not be sent to the domain. One request per probe
  /// interval is let through as a probe.
  bool IsOpen(TimePoint now) const { return now < m_open_until; }

  /// Counts a request sent to the domain. Returns true if it is a probe; the
  /// breaker is open again until the next one.
  bool CountSend(TimePoint now);

 private:
  bool HasTripped() const;

  std::set<std::string> m_unreachable_instances;
  TimePoint m_open_until{};
  Duration m_probe_interval{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_DOMAIN_BREAKER_H_
