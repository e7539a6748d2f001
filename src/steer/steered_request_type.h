/// @file steered_request_type.h A request as the decisions see it.

#ifndef SORRELPLANK_STEER_STEERED_REQUEST_TYPE_H_
#define SORRELPLANK_STEER_STEERED_REQUEST_TYPE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "core/ids_type.h"
#include "core/request_digest_type.h"
#include "core/time_type.h"
#include "steer/region_shares.h"

namespace sorrelplank {

struct Organisation;
struct RouteRule;
struct RoutingTable;
class ServerState;

/// Order in a line; the lesser numbers go first.
struct RequestRank {
  /// The organisation's priority, or else the route's.
  int m_organisation = 0;
  int m_route = 0;

  bool GoesBefore(const RequestRank& other) const {
    return std::tie(m_organisation, m_route) <
           std::tie(other.m_organisation, other.m_route);
  }
};

/// What a client asks for.
struct RequestFacts {
  RequestId m_request;
  std::string m_host;
  std::string m_path;
  /// Hash of the object that the request is about; of the request itself where
  /// it names none.
  uint64_t m_object = 0;
  /// How long the client waits.
  Duration m_time_left{};
  /// The same for each attempt of one caller at the same request.
  RequestDigest m_digest{};
  /// What the client shows to say who asks.
  std::optional<std::string> m_key;
};

/// One send of a request that has not ended.
struct LiveAttempt {
  AttemptId m_attempt;
  std::shared_ptr<ServerState> m_server;
  TimePoint m_sent;
};

/// A request under way.
struct SteeredRequest {
  RequestFacts m_facts;
  /// Keeps the route and the organisation alive.
  std::shared_ptr<const RoutingTable> m_table;
  const RouteRule* m_route = nullptr;
  /// Who asks; nullptr on public routes and where there are no organisations.
  const Organisation* m_organisation = nullptr;
  RequestRank m_rank;
  std::string m_service;
  RegionShares::Mask m_allowed_regions = 0;
  TimePoint m_arrived;
  /// The answer is due by then.
  TimePoint m_deadline;
  std::vector<LiveAttempt> m_live_attempts;
  /// Instances that it was given to; it is not given to them again.
  std::vector<std::string> m_tried;
  /// Servers left out when a server was last chosen, since they ask for no more
  /// requests; for logs.
  uint32_t m_passed_over = 0;
  /// Sends of which a byte may have reached a server.
  uint32_t m_started_sends = 0;
  /// Held until the routing table has been read.
  bool m_awaits_table = false;
  /// Held until a keeper of its organisation's quota has answered.
  bool m_awaits_token = false;
  /// A server with a limit that it is sent to once a keeper grants a token.
  std::shared_ptr<ServerState> m_awaits_server;
  /// A token of its organisation's quota is spent on it.
  bool m_has_token = false;
  bool m_is_queued = false;
  /// Whose slot it waits for first of all.
  std::shared_ptr<ServerState> m_queued_for;
  /// The retry budget was charged for the next send.
  bool m_is_retry_charged = false;
  /// A send ended without proof that the request did not run.
  bool m_may_have_run = false;
  /// It goes on once it is known whether the server that lost it has ended.
  bool m_awaits_check = false;
  /// Sends that were lost.
  uint32_t m_lost_sends = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEERED_REQUEST_TYPE_H_
