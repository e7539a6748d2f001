/// @file send_forecast.h Predicts when a request sent now would be answered.

#ifndef SORRELPLANK_STEER_SEND_FORECAST_H_
#define SORRELPLANK_STEER_SEND_FORECAST_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time_type.h"

namespace sorrelplank {

/// What is known of a server, and of a request to be sent there.
struct SendConditions {
  /// Requests that the server is believed to have, of all entry VMs; zero
  /// while nothing is known.
  double m_occupancy = 0;
  /// Requests queued at this VM for the server that go before this one.
  size_t m_queued_ahead = 0;
  uint32_t m_slots = 1;
  /// Mean time for which a request of the service occupies a slot; zero while
  /// unknown.
  Duration m_slot_time{};
  /// Work on an object that is cached, network included as far as it is the
  /// same for all regions; no value while unknown or uncertain.
  std::optional<Duration> m_cached_work;
  /// Whether the object counts as cached at the server.
  bool m_is_cached = true;
  /// Network round trip, as far as it exceeds that of the nearest region.
  Duration m_round_trip{};
};

/// Time that a request has for being answered: the shorter of its client's
/// budget and its route's timeout.
struct AnswerTime {
  Duration m_left{};
  /// The time that it had when it arrived.
  Duration m_full{};
};

/// Predicts the time until the response to a request that is sent now.
///
/// Load pattern: more requests than slots for several seconds at servers that
/// queue three times as many requests as they have slots. A request that finds
/// the queue full waits almost as long as its route's timeout; a fifth of the
/// attempts were cancelled there, each after it had taken a place in the queue
/// or a slot from a request that could have been answered. A cancelled request
/// that is not idempotent may have run and is lost for its caller.
class SendForecast {
 public:
  explicit SendForecast(const SendConditions& conditions)
      : m_conditions(conditions) {}

  /// Time until a slot is free for the request.
  Duration Wait() const;

  /// Time until the response; no value if the work is unknown.
  std::optional<Duration> TimeToAnswer() const;

  /// Whether the request may be answered in time. It may without a forecast,
  /// and with a free slot as long as the work itself may fit.
  bool CanFinish(const AnswerTime& time) const;

  /// Time until a request that has its full time could be answered, if no
  /// others arrive; zero if it could now.
  Duration TimeUntilItCan(const AnswerTime& time) const;

 private:
  /// Time with which the request will probably be answered: TimeToAnswer() and
  /// the uncertainty of the wait.
  std::optional<Duration> TimeNeeded() const;
  /// Requests ahead of this one for which no slot is free, and itself.
  double Surplus() const;

  SendConditions m_conditions;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SEND_FORECAST_H_
