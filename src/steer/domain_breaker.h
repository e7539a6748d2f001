/// @file domain_breaker.h Notices that a whole failure domain is out of reach.

#ifndef SORRELPLANK_STEER_DOMAIN_BREAKER_H_
#define SORRELPLANK_STEER_DOMAIN_BREAKER_H_

#include <set>
#include <string>

#include "core/time_type.h"

namespace sorrelplank {

/// A circuit breaker over the backend servers of one failure domain.
///
/// Load pattern: a domain loses power or is cut off. Each of its servers would
/// be found out by a request of its own, which waits for the time limit on
/// opening a connection; in large fleets a VM meets one server every few
/// seconds, so that takes longer than the failure lasts. Several servers out of
/// reach, and none that answers, say the same of all others.
class DomainBreaker {
 public:
  /// A connection to the instance could not be opened; true if this opened the
  /// breaker.
  bool CountUnreached(const std::string& instance, TimePoint now);

  /// A server of the domain took a request; true if this closed the breaker.
  bool CountReached();

  /// Whether requests are to be kept away. Once an interval it lets one through
  /// as a trial.
  bool IsOpen(TimePoint now) const { return now < m_open_until; }

  /// A request is sent to the domain; true if it is a trial, after which the
  /// breaker is open again.
  bool CountSend(TimePoint now);

 private:
  bool HasTripped() const;

  std::set<std::string> m_unreached;
  TimePoint m_open_until{};
  Duration m_interval{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_DOMAIN_BREAKER_H_
