/// @file steering.h Decides where requests go, wait, and how they end.

#ifndef SORRELPLANK_STEER_STEERING_H_
#define SORRELPLANK_STEER_STEERING_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "steer/attempt_report_type.h"
#include "steer/crash_record_type.h"
#include "steer/crash_register.h"
#include "steer/even_dealer.h"
#include "steer/notice_archive.h"
#include "steer/organisation_index.h"
#include "steer/quota_gate.h"
#include "steer/quota_keeper.h"
#include "steer/route_index.h"
#include "steer/routing_table_type.h"
#include "steer/server_change_type.h"
#include "steer/server_limits.h"
#include "steer/server_load_type.h"
#include "steer/server_picker.h"
#include "steer/steer_action_type.h"
#include "steer/steered_request_type.h"
#include "steer/steered_service.h"
#include "steer/steering_settings_type.h"

namespace sorrelplank {

/// The decisions of one entry VM: no sockets, no clock. Events and the time go
/// in, actions come out of the sink. The sink must not call back into this.
class Steering {
 public:
  using Sink = std::function<void(const SteerAction&)>;

  Steering(SteeringSettings settings, Sink sink);

  // What is known. Each takes effect for waiting requests too.
  void Install(std::shared_ptr<const RoutingTable> table, TimePoint now);
  ServerChange PutServer(const ServerEntry& entry, TimePoint now);
  void RemoveServer(const std::string& instance, TimePoint now);
  void SetEvacuated(const std::set<std::string>& domains, TimePoint now);
  void SetFleet(std::vector<FleetMember> fleet, TimePoint now);

  /// Whether nothing new can be learned of servers and configuration at the
  /// moment.
  void SetCutOff(bool is_cut_off) { m_picker.SetCutOff(is_cut_off); }

  /// Replaces limits; the own place stays.
  void SetLimits(const SteeringSettings& settings);

  /// The organisation that holds the key by the table in force, or nullptr.
  const Organisation* OrganisationOf(const std::string& key) const;

  /// Regions that may take requests of a host: those that are homes of all its
  /// routes with homes; empty: all.
  std::vector<std::string> HomesOf(const std::string& host) const;

  /// Whether routing table and servers are being read for the first time, or
  /// are read and may be old. Requests that arrive meanwhile are held until
  /// that ends.
  void SetLoading(bool is_loading, TimePoint now);

  /// From now on new requests are refused; those under way are finished.
  void RefuseNew() { m_refuses_new = true; }

  // Requests.
  void Arrived(RequestFacts facts, TimePoint now);
  void Ended(RequestId request,
             AttemptId attempt,
             const AttemptReport& report,
             TimePoint now);
  void ClientLeft(RequestId request, TimePoint now);
  /// Deadlines, waiting requests and second sends; to be called often.
  void Tick(TimePoint now);

  /// Loads that servers told this VM since this was asked before.
  std::vector<ServerLoad> TakeUntoldLoads(TimePoint now);
  /// Loads that another entry VM was told.
  void TakeLoads(const std::vector<ServerLoad>& loads, TimePoint now);

  // Requests that servers ended under.
  /// What came of CheckServerReach.
  void ServerChecked(const std::string& instance,
                     ServerReach reach,
                     TimePoint now);
  /// Another VM saw a server end under a request, so long ago.
  void TakeCrash(const CrashRecord& fact, Duration age, TimePoint now);
  /// Another VM saw the request answered, or an operator released it.
  void DropCrash(const CrashRecord& fact, TimePoint now);
  const CrashRegister& Crashes() const { return m_crashes; }

  // Quotas of organisations.
  /// Whether the others may have taken this VM off the fleet without its
  /// knowledge, and another one keeps the quotas that were its own.
  void SetMayBeReplaced(bool may_be) {
    m_may_be_replaced = may_be;
    m_server_limits.SetMayBeReplaced(may_be);
  }
  /// Another entry VM asks this one as a keeper.
  QuotaGrant AnswerQuotaAsk(const QuotaRequest& ask, TimePoint now);
  /// What came of AskForTokens.
  void TakeQuotaGrant(const QuotaGrant& grant, TimePoint now);

  const RoutingTable* Table() const { return m_table.get(); }
  size_t Running() const { return m_requests.size(); }
  size_t AwaitingTokens() const { return m_quota_gate.WaitingCount(); }
  /// Servers that name a limit on their requests.
  size_t LimitedServers() const;
  /// Servers that want no requests from this VM now.
  size_t PausedServers(TimePoint now) const;
  size_t AwaitingServerTokens() const { return m_server_limits.WaitingCount(); }
  size_t LimitsKept() const { return m_server_limits.KeptCount(); }
  size_t QuotasKept() const { return m_quota_keeper.Count(); }
  size_t ServerCount() const { return m_servers.size(); }
  /// Servers that decisions looked at so far.
  uint64_t ServersLookedAt() const;
  size_t WaitingCount() const;
  const ServerPicker& Picker() const { return m_picker; }
  const SteeringSettings& Settings() const { return m_settings; }

 private:
  using RequestMap = std::unordered_map<RequestId, SteeredRequest>;

  /// A send that was lost, until it is known whether its server ended.
  struct UnsettledEnd {
    RequestId m_request;
    CrashReport m_report;
  };

  SteeredService& Service(const std::string& name);
  size_t RegionOf(const std::string& failure_domain) const;
  /// The regions named; all where none is.
  RegionShares::Mask MaskOf(const std::vector<std::string>& homes) const;
  const ServiceRules& RulesOf(const std::string& service) const;

  void AddServer(const ServerEntry& entry, size_t region, TimePoint now);
  /// Ends the sends to a run of a server that is over.
  void EndSendsTo(const ServerTrack& server, TimePoint now);

  /// Starts a request on the table in force.
  void Admit(SteeredRequest& request, TimePoint now);
  /// Sets route, organisation and service by the table in force; otherwise
  /// why it forbids the request.
  std::optional<SteerRefusal> Route(SteeredRequest& request);
  /// Who asks, by the table in force; otherwise why that can't be told.
  std::optional<SteerRefusal> Identify(SteeredRequest& request) const;
  void ChooseService(SteeredRequest& request);
  /// Starts a request that the quota of its organisation lets pass.
  void Begin(SteeredRequest& request, TimePoint now);
  /// Begins the request with a token of its organisation's quota, holds it for
  /// one, or refuses it.
  void TakeToken(SteeredRequest& request, TimePoint now);
  /// Hands out questions to keepers; the own ones are answered at once.
  void AskKeepers(TimePoint now);
  void SettleQuota(const std::vector<QuotaOutcome>& outcomes, TimePoint now);
  /// A request that did not run needs its token no more.
  void ReturnToken(SteeredRequest& request, TimePoint now);
  void StopAwaitingToken(SteeredRequest& request);
  Choice Choose(SteeredRequest& request, TimePoint now);
  /// Servers of the request's region, and what it needs of them.
  ServerRoster* Candidates(const SteeredRequest& request, PickNeed& need);
  /// Sends if the limits allow it, or holds the request for a token of the
  /// server's limit; spends from the retry budget for a second send.
  bool TrySend(SteeredRequest& request, ServerTrack* server, TimePoint now);
  bool MaySendAgain(SteeredRequest& request, TimePoint now);
  /// Sends to a server with a limit, or holds the request until a keeper has
  /// answered; false where it is known that there is no token.
  bool TakeServerToken(SteeredRequest& request,
                       ServerTrack* server,
                       TimePoint now);
  void SettleServerTokens(const std::vector<QuotaOutcome>& outcomes,
                          TimePoint now);
  void StopAwaitingServer(SteeredRequest& request);
  void Send(SteeredRequest& request, ServerTrack* server, TimePoint now);
  void Wait(SteeredRequest& request, ServerTrack* server);
  void StopWaiting(SteeredRequest& request);
  /// Places requests that wait for the server anew.
  void MoveWaiting(const ServerTrack& server, TimePoint now);
  void Place(SteeredRequest& request, TimePoint now);
  /// A send ended without an answer to forward.
  void Recover(SteeredRequest& request,
               AttemptId attempt,
               AttemptEnd end,
               TimePoint now);
  void ServeWaiting(SteeredService& service, TimePoint now);
  void CheckTime(SteeredRequest& request, TimePoint now);
  void SendSecondCopy(SteeredRequest& request, TimePoint now);
  void Refuse(SteeredRequest& request, SteerRefusal reason, TimePoint now);
  /// Until the first of the servers that may serve the request takes requests
  /// again; zero where one does now, or none will.
  Duration UntilServerTakes(const SteeredRequest& request, TimePoint now);
  /// Gives up all sends; counted as lost where the servers had enough time.
  void CancelLive(SteeredRequest& request, bool counts_as_lost, TimePoint now);
  void Forget(RequestId id);
  /// Notes the end of a send, and tells where the server's standing changed.
  void CountEnd(ServerTrack& server,
                const AttemptReport& report,
                TimePoint now);
  /// Tells what a server asks of its callers from now on, for logs, and
  /// measures the regions anew where it takes no more requests.
  void ApplyNotices(const ServerTrack& server,
                    const ServerNotices& before,
                    TimePoint now);
  /// Notes whether the server's failure domain is within reach.
  void CountReach(const ServerTrack& server, AttemptEnd end, TimePoint now);
  /// How far the split of a service may move, so that services stay together.
  MovedAwayBounds BoundsOfMoves(const SteeredService& moving,
                                TimePoint now) const;
  void UpdateShares(TimePoint now);

  /// Whether this run of the server is the one that is known.
  bool IsListed(const ServerTrack& server) const;
  /// Whether a send that this server lost may have ended it.
  bool MayHaveEndedIn(const ServerTrack& server) const;
  /// Whether a server ended under the request.
  bool IsSuspect(const SteeredRequest& request, TimePoint now) const;
  static CrashReport ReportOf(const SteeredRequest& request,
                              const ServerTrack& server);
  /// Whether servers that ended under the request forbid to send it on.
  bool MayCrashNext(const SteeredRequest& request, TimePoint now) const;
  /// A server lost the request; it may have ended under it.
  void CountLost(SteeredRequest& request,
                 const ServerTrack& server,
                 bool server_ended,
                 TimePoint now);
  /// Asks whether the server that lost the request has ended.
  void CheckServer(const SteeredRequest& request, const ServerTrack& server);
  void NoteOwnCrash(const CrashReport& report, TimePoint now);
  /// Ends all that is under way of the request.
  void HoldBack(const RequestDigest& digest, TimePoint now);
  void ClearSuspicion(const RequestDigest& digest, TimePoint now);
  void ForgetOldCrashes(TimePoint now);

  SteeringSettings m_settings;
  Sink m_sink;
  std::vector<std::string> m_regions;
  size_t m_own_region = 0;
  ServerPicker m_picker;
  std::shared_ptr<const RoutingTable> m_table;
  std::unique_ptr<RouteIndex> m_index;
  std::unique_ptr<OrganisationIndex> m_organisations;
  std::map<std::string, EvenDealer> m_splits;
  std::map<std::string, std::unique_ptr<SteeredService>> m_services;
  std::map<std::string, std::shared_ptr<ServerTrack>> m_servers;
  std::unordered_map<NameHash, std::shared_ptr<ServerTrack>> m_servers_by_hash;
  /// Servers that told this VM their load since TakeUntoldLoads was asked.
  std::set<std::string> m_untold;
  RequestMap m_requests;
  uint64_t m_next_attempt = 1;
  bool m_refuses_new = false;
  bool m_is_loading = false;
  /// Requests held while loading, in the order of arrival.
  std::list<RequestId> m_awaiting_table;
  TimePoint m_shares_updated{};
  QuotaGate m_quota_gate;
  QuotaKeeper m_quota_keeper;
  ServerLimits m_server_limits;
  NoticeArchive m_notice_archive;
  bool m_may_be_replaced = false;
  CrashRegister m_crashes;
  /// By the server's instance.
  std::map<std::string, std::vector<UnsettledEnd>> m_unsettled_ends;
  /// Of this VM, by its name.
  double m_removal_spread = 0;
  TimePoint m_crashes_swept{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEERING_H_
