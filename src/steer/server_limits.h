/// @file server_limits.h Rate limits that backend servers name.

#ifndef SORRELPLANK_STEER_SERVER_LIMITS_H_
#define SORRELPLANK_STEER_SERVER_LIMITS_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "steer/quota_gate.h"
#include "steer/quota_keeper.h"
#include "steer/quota_message_type.h"

namespace sorrelplank {

class ServerState;
struct FleetMember;

/// Enforces the rate limit that a server names over all entry VMs together.
///
/// If each VM applied the limit by itself, every VM could send as much as all
/// of them may together; equal shares would leave most of a small limit unused.
/// So the limit is a quota with one keeper, a VM in the server's region. VMs of
/// other regions use the server only if no other is available: getting a token
/// would take them as long as a response of a server in their own region.
class ServerLimits {
 public:
  /// Name and region of this VM, and all regions by region index.
  ServerLimits(std::string vm,
               std::string region,
               const std::vector<std::string>& regions);

  void SetFleet(const std::vector<FleetMember>& fleet, TimePoint now);
  /// Whether another VM may have taken over the quotas that this VM keeps.
  void SetMayBeReplaced(bool may_be) { m_may_be_replaced = may_be; }

  /// Whether a request may try to get a token for the server now; true for
  /// servers without a limit.
  bool MayTry(const ServerState& server, TimePoint now) const;
  /// Whether the server is reserved for the VMs of its own region as long as
  /// other servers are available. False once the limit was named long ago,
  /// since it may have ended.
  bool IsReservedForItsRegion(const ServerState& server, TimePoint now) const;

  /// Time until a server without tokens has one again; zero if MayTry().
  Duration TimeUntilToken(const ServerState& server, TimePoint now) const;

  /// Takes a token for a request to a server with a limit. If the request has
  /// to wait, TakeGrant() or Tick() returns its outcome.
  QuotaVerdict Arrived(RequestId request,
                       const ServerState& server,
                       TimePoint now);
  /// Removes a waiting request.
  void CancelWait(RequestId request, const ServerState& server);
  /// Returns the token of a request that is not sent.
  void Return(const ServerState& server, TimePoint now);

  std::vector<AddressedQuotaRequest> TakeQuotaRequests();
  /// Whether the quota is a server's limit that this VM sent or received quota
  /// requests for.
  bool Contains(QuotaSubject subject) const {
    return m_known_limits.contains(subject);
  }
  std::vector<QuotaOutcome> TakeGrant(const QuotaGrant& grant, TimePoint now);
  /// Handles keepers that did not respond, and returns outcomes that were not
  /// delivered yet.
  std::vector<QuotaOutcome> Tick(TimePoint now);

  /// Responds as the keeper to a quota request of an entry VM.
  QuotaGrant Grant(const QuotaRequest& quota_request, TimePoint now);

  size_t WaitingCount() const;
  size_t KeptCount() const { return m_keeper.Count(); }

 private:
  /// A limit that a server named.
  struct KnownLimit {
    size_t m_region = 0;
    double m_per_second = 0;
    TimePoint m_named_at;
    TimePoint m_used_at;
  };

  /// Stores a limit; the most recently named value counts.
  const KnownLimit& UpdateLimit(QuotaSubject subject,
                                size_t region,
                                const NamedLimit& limit,
                                TimePoint now);
  QuotaGate& GateOf(const ServerState& server);
  const QuotaGate& GateOf(const ServerState& server) const;
  /// Queues the gate's quota requests for sending; those to this VM are
  /// answered at once.
  std::vector<QuotaOutcome> ForwardQuotaRequests(QuotaGate& gate,
                                                 TimePoint now);
  void DropUnused(TimePoint now);

  std::string m_vm;
  std::string m_region;
  std::vector<std::string> m_regions;
  /// By the index of the server's region.
  std::vector<QuotaGate> m_gates;
  QuotaKeeper m_keeper;
  bool m_may_be_replaced = false;
  /// Limits that this VM sent or received quota requests for.
  std::unordered_map<QuotaSubject, KnownLimit> m_known_limits;
  std::vector<AddressedQuotaRequest> m_quota_requests;
  /// Outcomes for other requests, found in Arrived(); returned by Tick().
  std::vector<QuotaOutcome> m_pending_outcomes;
  TimePoint m_last_sweep{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_LIMITS_H_
