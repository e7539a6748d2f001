/// @file steering.h Decides where and when requests are sent, and how they end.

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
#include "steer/notice_archive.h"
#include "steer/organisation_index.h"
#include "steer/peer_picker.h"
#include "steer/peer_report_type.h"
#include "steer/quota_gate.h"
#include "steer/quota_keeper.h"
#include "steer/reach_monitor.h"
#include "steer/retry_extra_share.h"
#include "steer/return_estimate.h"
#include "steer/route_index.h"
#include "steer/routing_table_type.h"
#include "steer/send_forecast.h"
#include "steer/server_change_type.h"
#include "steer/server_limits.h"
#include "steer/server_load_type.h"
#include "steer/server_picker.h"
#include "steer/steer_action_type.h"
#include "steer/steered_request_type.h"
#include "steer/steered_service.h"
#include "steer/steering_settings_type.h"
#include "steer/weighted_round_robin.h"

namespace sorrelplank {

/// The steering decisions of one entry VM, without I/O and clock: events and
/// the current time are passed in, actions are passed to the sink. The sink
/// must not call back into this object.
class Steering {
 public:
  using Sink = std::function<void(const SteerAction&)>;

  Steering(SteeringSettings settings, Sink sink);

  // Configuration, servers and fleet. Changes also apply to waiting requests.
  void Install(std::shared_ptr<const RoutingTable> table, TimePoint now);
  ServerChange PutServer(const ServerEntry& entry, TimePoint now);
  void RemoveServer(const std::string& instance, TimePoint now);
  void SetEvacuated(const std::set<std::string>& domains, TimePoint now);
  void SetFleet(std::vector<FleetMember> fleet, TimePoint now);

  /// Whether the store's data on servers and configuration can currently not be
  /// confirmed, so that changes may be missing.
  void SetDataStale(bool is_stale) { m_picker.SetDataStale(is_stale); }
  /// Whether the store is away for VMs of other regions, too.
  void SetStoreAwayForAll(bool is_away) {
    m_picker.SetStoreAwayForAll(is_away);
  }

  /// Replaces the limits; the VM's identity and location stay.
  void SetLimits(const SteeringSettings& settings, TimePoint now);

  /// The organisation that holds the key in the current table, or nullptr.
  const Organisation* OrganisationOf(const std::string& key) const;

  /// Regions that may take requests for a host: the intersection of the home
  /// regions of all its routes that have any; empty means all.
  std::vector<std::string> HomesOf(const std::string& host) const;

  /// Whether the routing table and the servers are being read for the first
  /// time, or have been read but may be outdated. Requests that arrive
  /// meanwhile are held until loading ends.
  void SetLoading(bool is_loading, TimePoint now);

  /// Refuses new requests from now on; requests in flight are finished.
  void RefuseNew() { m_refuses_new = true; }

  // Requests.
  void Arrived(RequestFacts facts, TimePoint now);
  void Ended(RequestId request,
             AttemptId attempt,
             const AttemptReport& report,
             TimePoint now);
  /// Result of a SendToPeer action.
  void PeerEnded(RequestId request,
                 AttemptId attempt,
                 const PeerReport& report,
                 TimePoint now);
  void ClientLeft(RequestId request, TimePoint now);
  /// Checks deadlines, queued requests and hedges; to be called frequently.
  void Tick(TimePoint now);

  /// Loads that servers reported to this VM since the previous call.
  std::vector<ServerLoad> TakeUnsharedLoads(TimePoint now);
  /// Applies loads that were reported to another entry VM.
  void ApplyPeerLoads(const std::vector<ServerLoad>& loads, TimePoint now);

  // Requests that may crash servers.
  /// Result of a CheckServerReachable action.
  void ServerChecked(const std::string& instance,
                     ServerReach reach,
                     TimePoint now);
  /// Applies another VM's report that a server crashed while it ran a request.
  void ApplyPeerCrash(const CrashRecord& record,
                      const CrashSighting& sighting,
                      TimePoint now);
  /// Drops a crash record because another VM saw the request answered, or an
  /// operator released it.
  void DropCrash(const CrashRecord& record, TimePoint now);
  const CrashRegister& Crashes() const { return m_crashes; }

  // Reach of the backend servers.
  /// Result of a ProbeServerReach action.
  void ReachProbed(bool is_reached, TimePoint now);
  /// Whether this VM reaches any backend server, as far as is known.
  bool ReachesServers() const { return !m_reach.IsLost(); }

  // Quotas of organisations.
  /// Whether the other VMs may have removed this VM from the fleet without its
  /// knowledge, so that another VM now keeps its quotas.
  void SetMayBeReplaced(bool may_be) {
    m_may_be_replaced = may_be;
    m_server_limits.SetMayBeReplaced(may_be);
  }
  /// Responds as a keeper to a quota request of another entry VM.
  QuotaGrant GrantQuota(const QuotaRequest& quota_request, TimePoint now);
  /// Applies the response to a SendQuotaRequest action.
  void ApplyQuotaGrant(const QuotaGrant& grant, TimePoint now);

  const RoutingTable* Table() const { return m_table.get(); }
  size_t Running() const { return m_requests.size(); }
  size_t AwaitingTokens() const { return m_quota_gate.WaitingCount(); }
  /// Number of servers that announce a limit on their request rate.
  size_t LimitedServers() const;
  /// Number of servers that currently want no requests from this VM.
  size_t PausedServers(TimePoint now) const;
  size_t AwaitingServerTokens() const { return m_server_limits.WaitingCount(); }
  size_t LimitsKept() const { return m_server_limits.KeptCount(); }
  size_t QuotasKept() const { return m_quota_keeper.Count(); }
  size_t ServerCount() const { return m_servers.size(); }
  /// Number of servers examined by decisions so far.
  uint64_t ServersExamined() const;
  size_t WaitingCount() const;
  const ServerPicker& Picker() const { return m_picker; }
  const SteeringSettings& Settings() const { return m_settings; }

 private:
  using RequestMap = std::unordered_map<RequestId, SteeredRequest>;

  /// A lost attempt for which it is not yet known whether the server crashed.
  struct PendingCrashCheck {
    RequestId m_request;
    CrashReport m_report;
    TimePoint m_lost;
  };

  SteeredService& Service(const std::string& name);
  size_t RegionOf(const std::string& failure_domain) const;
  /// Bit mask of the named regions; of all regions if none is named.
  RegionShares::Mask MaskOf(const std::vector<std::string>& homes) const;
  const ServiceRules& RulesOf(const std::string& service) const;
  /// Shortest target latency of the service's routes; the longest possible
  /// duration without any.
  Duration ShortestTarget(const std::string& service) const;

  void AddServer(const ServerEntry& entry, size_t region, TimePoint now);
  /// Ends the attempts at a server run that is over.
  void EndSendsTo(const ServerState& server, TimePoint now);

  /// Starts processing a request with the current table.
  void Admit(SteeredRequest& request, TimePoint now);
  /// Sets the request's route, organisation and service from the current table,
  /// or returns why the request is refused.
  std::optional<SteerRefusal> Route(SteeredRequest& request);
  /// Sets the request's organisation from the current table, or returns why it
  /// cannot be determined.
  std::optional<SteerRefusal> Identify(SteeredRequest& request) const;
  void ChooseService(SteeredRequest& request);
  /// Continues with a request that its organisation's quota allows.
  void Begin(SteeredRequest& request, TimePoint now);
  /// Begins the request with a token of its organisation's quota, holds it
  /// until one is granted, or refuses it.
  void TakeToken(SteeredRequest& request, TimePoint now);
  /// Sends the pending quota requests to their keepers; those to this VM are
  /// answered at once.
  void SendQuotaRequests(TimePoint now);
  void SettleQuota(const std::vector<QuotaOutcome>& outcomes, TimePoint now);
  /// Returns the token of a request that did not run.
  void ReturnToken(SteeredRequest& request, TimePoint now);
  void StopAwaitingToken(SteeredRequest& request);
  Choice Choose(SteeredRequest& request, TimePoint now);
  /// Servers of the request's region, and the request's criteria.
  RegionServers* Candidates(const SteeredRequest& request,
                            PickCriteria& criteria);
  /// Sends the request if the limits allow it, or holds it for a token of the
  /// server's rate limit; charges the retry budget for a retry.
  bool TrySend(SteeredRequest& request, ServerState* server, TimePoint now);
  /// Whether the request may be retried; charges the retry budget.
  bool MayRetry(SteeredRequest& request, TimePoint now);
  /// With less time left, no retry is made.
  Duration MinRetryTime(const SteeredRequest& request);
  /// The same for a hedge in a service whose servers report slowed work.
  bool MayHedge(SteeredRequest& request, TimePoint now);
  /// Whether the request may be retried if the budget allows it.
  bool HasRetryLeft(const SteeredRequest& request, TimePoint now);
  /// This VM's share of the fixed extra of the retry budget.
  double RetryExtra(TimePoint now) const;
  /// Sends the request to a server with a rate limit, or holds it until a
  /// keeper has answered; false if no token is available.
  bool TakeServerToken(SteeredRequest& request,
                       ServerState* server,
                       TimePoint now);
  void SettleServerTokens(const std::vector<QuotaOutcome>& outcomes,
                          TimePoint now);
  void StopAwaitingServer(SteeredRequest& request);
  void Send(SteeredRequest& request, ServerState* server, TimePoint now);
  /// The queue for the server as it is for the request. In uneven services, the
  /// requests that the request would go ahead of do not count.
  QueueState QueueFor(SteeredRequest& request,
                      const ServerState* server,
                      TimePoint now);
  /// Whether the request, sent to the server now, would miss its target.
  bool MissesTarget(const SteeredRequest& request,
                    const ServerState& server,
                    TimePoint now);
  /// Sorts an uneven service's queue again if requests can no longer meet their
  /// targets.
  void ReorderWaiting(SteeredService& service, TimePoint now);
  /// Sends waiting requests of uneven services, so that a request that arrives
  /// now gets no slot before them.
  void ServeUnevenQueues(TimePoint now);
  void Enqueue(SteeredRequest& request, ServerState* server);
  void Dequeue(SteeredRequest& request);
  /// Dispatches the requests that wait for the server again.
  void RequeueWaiting(const ServerState& server, TimePoint now);
  void Dispatch(SteeredRequest& request, TimePoint now);
  /// Handles an attempt that ended without a response to forward: retries the
  /// request, or ends it.
  void RetryOrFail(SteeredRequest& request,
                   AttemptId attempt,
                   AttemptEnd end,
                   TimePoint now);
  void ServeWaiting(SteeredService& service, TimePoint now);

  // Requests passed on to other entry VMs.
  /// Passes the request on to another VM; charges the retry budget if it may
  /// have reached a server. False if that is not allowed or no VM is available.
  bool PassOn(SteeredRequest& request, TimePoint now);
  bool MayPassOn(SteeredRequest& request, TimePoint now);
  /// Passes all requests on that wait for a server.
  void PassOnWaiting(TimePoint now);
  void CancelPeerAttempt(SteeredRequest& request, TimePoint now);

  // Attempts that cannot complete in time; in services with uneven capacity.
  /// Forecast for the request if it is sent to the server now.
  SendForecast ForecastAt(const SteeredRequest& request,
                          const ServerState& server,
                          bool is_cached,
                          TimePoint now);
  /// Whether a server of the choice may answer the request in time.
  bool CanFinish(const SteeredRequest& request,
                 const Choice& choice,
                 TimePoint now);
  /// The same for the present choice.
  bool CanFinishSomewhere(SteeredRequest& request, TimePoint now);
  /// The same for one server of the choice: the one expected to answer first,
  /// and the one with a free slot.
  bool CanFinishAtFastest(const SteeredRequest& request,
                          const Choice& choice,
                          TimePoint now);
  bool CanFinishAtFree(const SteeredRequest& request,
                       const Choice& choice,
                       TimePoint now);
  /// Whether there is a forecast for the request.
  bool HasForecast(const SteeredRequest& request);
  /// Refuses the waiting requests that can no longer be answered in time, and
  /// sends those to another server with a free slot that only it can answer.
  void ReviewWaiting(SteeredService& service, TimePoint now);
  /// Adds to the refusal why no server of the choice can answer in time, and
  /// when one can.
  void ExplainCannotFinish(RefuseRequest& refusal,
                           const SteeredRequest& request,
                           const Choice& choice,
                           TimePoint now);

  void CheckDeadline(SteeredRequest& request, TimePoint now);
  /// Whether other requests went ahead of this waiting first call, so that its
  /// caller had better return than wait.
  bool IsDisplaced(SteeredRequest& request, TimePoint now);
  void SendHedge(SteeredRequest& request, TimePoint now);
  /// The server for a hedge that can be answered within the target latency;
  /// nullptr if there is none or the attempt in flight is not overdue.
  ServerState* ChooseEarlyHedge(SteeredRequest& request, TimePoint now);
  void Refuse(SteeredRequest& request, SteerRefusal reason, TimePoint now);
  /// Time after which the caller of a refused request may return.
  Duration ReturnTime(const SteeredRequest& request,
                      SteerRefusal reason,
                      const Choice& choice,
                      const QueueState& queue,
                      TimePoint now);
  /// Time until the first server that may serve the request accepts requests
  /// again; zero if one does now or none will.
  Duration TimeUntilServerAvailable(const SteeredRequest& request,
                                    TimePoint now);
  /// Cancels all attempts of the request. If `counts_as_lost`, those whose
  /// servers had enough time are counted as lost.
  void CancelLiveAttempts(SteeredRequest& request,
                          bool counts_as_lost,
                          TimePoint now);
  void RemoveRequest(RequestId id);
  /// Records the outcome of an attempt, and reports changes of the server's
  /// status.
  void CountEnd(ServerState& server,
                const AttemptReport& report,
                TimePoint now);
  /// Logs changes of what the server asks of its callers, and measures the
  /// regions again if it takes no more requests.
  void ApplyNotices(const ServerState& server,
                    const ServerNotices& before,
                    TimePoint now);
  /// Records whether the server's failure domain is reachable.
  void CountReachability(const ServerState& server,
                         AttemptEnd end,
                         TimePoint now);
  /// Records whether the end of an attempt shows that this VM reaches servers.
  void CountReach(const std::string& instance,
                  const AttemptReport& report,
                  TimePoint now);
  /// To be called when a server was reached again after an outage.
  void RegainServers(TimePoint now);
  /// Starts the probes that are due.
  void ProbeServers(TimePoint now);
  /// Usable servers, preferably in different failure domains.
  std::vector<std::shared_ptr<ServerState>> ServersToProbe(size_t count) const;
  /// Limits on how far the service's split may shift, so that the splits of all
  /// services stay close to each other.
  MovedAwayBounds ShiftBounds(const SteeredService& moving,
                              TimePoint now) const;
  void UpdateShares(TimePoint now);

  /// Whether this run of the server is the known one.
  bool IsListed(const ServerState& server) const;
  /// Whether an attempt that the server lost may mean that it crashed.
  bool MayHaveCrashed(const ServerState& server) const;
  /// Whether a server crashed while it ran the request.
  bool IsSuspect(const SteeredRequest& request, TimePoint now) const;
  static CrashReport ReportOf(const SteeredRequest& request,
                              const ServerState& server,
                              Duration under_way);
  /// Whether the crashes counted for the request forbid a retry.
  bool IsRetryForbidden(const SteeredRequest& request, TimePoint now) const;
  /// Handles the loss of an attempt; the server may have crashed.
  void CountLost(SteeredRequest& request,
                 const ServerState& server,
                 Duration under_way,
                 bool server_ended,
                 TimePoint now);
  /// Checks whether the server that lost the request has crashed.
  void CheckServer(const SteeredRequest& request,
                   CrashReport report,
                   const ServerEntry& entry,
                   TimePoint now);
  /// Ends the checks of servers that refused connections, once it is known
  /// whether this VM reaches any server.
  void SettleRefusedChecks(TimePoint now);
  void NoteOwnCrash(const CrashReport& report, TimePoint now);
  /// Ends all requests in progress with this digest.
  void HoldBack(const RequestDigest& digest, TimePoint now);
  void ClearSuspicion(const RequestDigest& digest, TimePoint now);
  /// Whether the request, which is held back, is sent to find out whether it
  /// crashes a server. Only one is, over all VMs.
  bool TryBeginTrial(const SteeredRequest& request, TimePoint now);
  /// The request was not run, so that its trial, if it is one, does not count.
  void UndoTrial(SteeredRequest& request);
  /// Whether this VM is the one that runs trials of the request.
  bool RunsTrialsOf(const RequestDigest& digest) const;
  void DropExpiredCrashes(TimePoint now);

  SteeringSettings m_settings;
  Sink m_sink;
  std::vector<std::string> m_regions;
  size_t m_own_region = 0;
  ServerPicker m_picker;
  std::shared_ptr<const RoutingTable> m_table;
  /// By service, from the table in force.
  std::map<std::string, Duration> m_shortest_targets;
  std::unique_ptr<RouteIndex> m_index;
  std::unique_ptr<OrganisationIndex> m_organisations;
  std::map<std::string, WeightedRoundRobin> m_route_splits;
  std::map<std::string, std::unique_ptr<SteeredService>> m_services;
  std::map<std::string, std::shared_ptr<ServerState>> m_servers;
  std::unordered_map<NameHash, std::shared_ptr<ServerState>> m_servers_by_hash;
  /// Instances of servers that reported their load to this VM since the last
  /// call of TakeUnsharedLoads.
  std::set<std::string> m_unshared_loads;
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
  ReturnEstimate m_returns;
  RetryExtraShare m_retry_extra_share;
  ReachMonitor m_reach;
  PeerPicker m_peers;
  /// Instance of the last server that was probed for its reach.
  std::string m_last_probed;
  CrashRegister m_crashes;
  /// By the server's instance.
  std::map<std::string, std::vector<PendingCrashCheck>> m_pending_crash_checks;
  /// Servers that refused connections, as seen by a VM that may have lost its
  /// paths to all servers.
  std::set<std::string> m_refused_checks;
  /// Value in 0..1 derived from the VM's name, so that the VMs remove expired
  /// crash records at different times.
  double m_removal_spread = 0;
  TimePoint m_crashes_swept{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEERING_H_
