/// @file steered_request_type.h State of a request in the steering decisions.

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
#include "steer/passed_on_terms_type.h"
#include "steer/region_shares.h"
#include "steer/retry_charge_type.h"

namespace sorrelplank {

struct Organisation;
struct RouteRule;
struct RoutingTable;
class ServerState;

/// Order in a wait queue; lower numbers go first.
struct RequestRank {
  /// Priority of the organisation, or of the route if it has none.
  int m_organisation = 0;
  int m_route = 0;
  /// The next two are set in uneven services only.
  /// Whether the caller has not been rejected before. A second rejection is
  /// final for a caller, a first one is not.
  bool m_is_first_call = false;
  /// Whether it can no longer be answered within its target latency.
  bool m_misses_target = false;

  bool GoesBefore(const RequestRank& other) const {
    return AsTuple() < other.AsTuple();
  }

 private:
  std::tuple<int, int, bool, bool> AsTuple() const {
    return {m_organisation, m_route, m_is_first_call, m_misses_target};
  }
};

/// Properties of a client's request.
struct RequestFacts {
  RequestId m_request;
  std::string m_host;
  std::string m_path;
  /// Hash of the object that the request is about; of the request itself if it
  /// names no object.
  uint64_t m_object = 0;
  /// Time until the client's deadline.
  Duration m_time_left{};
  /// Identical for all retries of the same request by one caller.
  RequestDigest m_digest{};
  /// Key by which the client identifies its organisation.
  std::optional<std::string> m_key;
  /// Set if another entry VM, which reaches no server, passed the request on.
  std::optional<PassedOnTerms> m_passed_on{};
};

/// An attempt that has not ended.
struct LiveAttempt {
  AttemptId m_attempt;
  std::shared_ptr<ServerState> m_server;
  TimePoint m_sent;
  /// Expected wait in the server's queue when the attempt was sent.
  Duration m_queue_met{};
  /// Sent while another attempt was in flight.
  bool m_is_hedge = false;
};

/// A request that was passed on to another entry VM and has not ended there.
struct PeerAttempt {
  AttemptId m_attempt;
  std::string m_vm;
};

/// A request that has not ended.
struct SteeredRequest {
  RequestFacts m_facts;
  /// Keeps the route and the organisation alive.
  std::shared_ptr<const RoutingTable> m_table;
  const RouteRule* m_route = nullptr;
  /// Organisation of the caller; nullptr on public routes and without
  /// configured organisations.
  const Organisation* m_organisation = nullptr;
  RequestRank m_rank;
  /// Time between its caller's first attempt and its arrival here; zero if it
  /// was not recognised as returning.
  Duration m_returned_after{};
  /// Other requests went ahead of it in the queue since its wait was last
  /// checked.
  bool m_was_displaced = false;
  /// Its need for a retry has been counted.
  bool m_is_retry_need_counted = false;
  std::string m_service;
  RegionShares::Mask m_allowed_regions = 0;
  TimePoint m_arrived;
  /// Time by which the request must be answered.
  TimePoint m_deadline;
  std::vector<LiveAttempt> m_live_attempts;
  /// Instances that the request was sent to; it is not sent to them again.
  std::vector<std::string> m_tried;
  std::optional<PeerAttempt> m_peer_attempt;
  /// Entry VMs that the request was passed on to.
  std::vector<std::string> m_tried_peers;
  /// Servers skipped in the last choice because they ask for no more requests;
  /// for logs.
  uint32_t m_passed_over = 0;
  /// First server of the object's ranking in the last choice. Only compared
  /// with other pointers, since the server may have been removed.
  const ServerState* m_first_choice = nullptr;
  /// Attempts of which at least one byte may have reached a server.
  uint32_t m_started_sends = 0;
  /// Held until the routing table has been read.
  bool m_awaits_table = false;
  /// Held until a keeper of its organisation's quota has answered.
  bool m_awaits_token = false;
  /// Server with a rate limit that the request is sent to once a keeper grants
  /// a token.
  std::shared_ptr<ServerState> m_awaits_server;
  /// A token of its organisation's quota has been spent on it.
  bool m_has_token = false;
  bool m_is_queued = false;
  /// The server whose slot it primarily waits for.
  std::shared_ptr<ServerState> m_queued_for;
  /// The retry budget has been charged for the next attempt.
  std::optional<RetryCharge> m_retry_charge;
  /// An attempt ended without proof that the request did not run.
  bool m_may_have_run = false;
  /// Held until it is known whether the server that lost it has crashed.
  bool m_awaits_check = false;
  /// Sent although it is held back, and its trial counts.
  bool m_is_trial = false;
  /// Number of lost attempts.
  uint32_t m_lost_sends = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEERED_REQUEST_TYPE_H_
