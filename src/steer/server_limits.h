/// @file server_limits.h Requests to backend servers that limit their rate.

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

/// Holds the limit that a server names over all entry VMs together.
///
/// Each VM that kept below the limit alone would send as much as all of them
/// may, and equal parts would leave most of a small limit unused. So the limit
/// is a quota with one keeper, a VM of the server's region. VMs of other
/// regions leave the server to those while others serve: a token would take
/// them as long as an answer of a server of their own.
class ServerLimits {
 public:
  /// The own VM and its region, and all regions by their numbers.
  ServerLimits(std::string vm,
               std::string region,
               const std::vector<std::string>& regions);

  void SetFleet(const std::vector<FleetMember>& fleet, TimePoint now);
  /// Whether another VM may have taken over what this one keeps.
  void SetMayBeReplaced(bool may_be) { m_may_be_replaced = may_be; }

  /// Whether a request may try for the server now; true for servers without a
  /// limit.
  bool MayTry(const ServerState& server, TimePoint now) const;
  /// Whether VMs of the server's region have it to themselves, as long as other
  /// servers can be sent to. Not once this VM has heard nothing of the limit
  /// for long: it may have ended.
  bool IsLeftToItsRegion(const ServerState& server, TimePoint now) const;

  /// When a server that may not be tried has a token again; zero where it may
  /// be.
  Duration WaitFor(const ServerState& server, TimePoint now) const;

  /// A request is to be sent to a server with a limit. Where it waits, its
  /// outcome comes from TakeGrant or Tick.
  QuotaVerdict Arrived(RequestId request,
                       const ServerState& server,
                       TimePoint now);
  /// A request that waits is given up.
  void Left(RequestId request, const ServerState& server);
  /// A request that got a token is not sent.
  void Return(const ServerState& server, TimePoint now);

  std::vector<QuotaQuestion> TakeQuestions();
  /// Whether the quota is a server's limit that this VM asked for.
  bool Knows(QuotaSubject subject) const { return m_known.contains(subject); }
  std::vector<QuotaOutcome> TakeGrant(const QuotaGrant& grant, TimePoint now);
  /// Keepers that stay silent, and requests whose outcome was found meanwhile.
  std::vector<QuotaOutcome> Tick(TimePoint now);

  /// Another entry VM asks this one as the keeper.
  QuotaGrant Grant(const QuotaAsk& ask, TimePoint now);

  size_t WaitingCount() const;
  size_t KeptCount() const { return m_keeper.Count(); }

 private:
  /// A limit that a server named.
  struct Known {
    size_t m_region = 0;
    double m_per_second = 0;
    TimePoint m_named;
    TimePoint m_used;
  };

  /// Notes a limit; of several words on one the newest counts.
  const Known& Learn(QuotaSubject subject,
                     size_t region,
                     const NamedLimit& limit,
                     TimePoint now);
  QuotaGate& GateOf(const ServerState& server);
  const QuotaGate& GateOf(const ServerState& server) const;
  /// Hands on what the gate asks; the own questions are answered at once.
  std::vector<QuotaOutcome> Ask(QuotaGate& gate, TimePoint now);
  void ForgetUnused(TimePoint now);

  std::string m_vm;
  std::string m_region;
  std::vector<std::string> m_regions;
  /// By the number of the server's region.
  std::vector<QuotaGate> m_gates;
  QuotaKeeper m_keeper;
  bool m_may_be_replaced = false;
  /// What this VM asked for or was asked for.
  std::unordered_map<QuotaSubject, Known> m_known;
  std::vector<QuotaQuestion> m_questions;
  /// Outcomes that were found while another request arrived.
  std::vector<QuotaOutcome> m_found;
  TimePoint m_swept{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_SERVER_LIMITS_H_
