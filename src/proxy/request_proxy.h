/// @file request_proxy.h Forwards client requests to backend servers.

#ifndef SORRELPLANK_PROXY_REQUEST_PROXY_H_
#define SORRELPLANK_PROXY_REQUEST_PROXY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "core/ids_type.h"
#include "core/request_digest_type.h"
#include "net/http_message_type.h"
#include "proxy/body_budget.h"
#include "proxy/proxy_header_names_type.h"
#include "proxy/request_digest_func.h"
#include "proxy/seen_response_fields.h"
#include "proxy/server_pool.h"
#include "proxy/server_reply_type.h"
#include "steer/steering.h"

namespace sorrelplank {

class DecisionLog;
class ProxyMetrics;

/// Message to the other VMs about requests that crash servers.
using CrashUpdate = std::variant<CrashReport, CrashesDropped>;

/// Accepts client requests, sends them to backend servers and returns the
/// responses. All routing decisions are made by Steering; this class executes
/// its actions.
class RequestProxy {
 public:
  RequestProxy(asio::io_context& io,
               const SteeringSettings& settings,
               ProxyHeaderNames names,
               DecisionLog& log,
               ProxyMetrics& metrics);

  /// Receives the crash updates that this VM must share with the others.
  using CrashUpdateHandler = std::function<void(const CrashUpdate&)>;
  void SetCrashUpdateHandler(CrashUpdateHandler handler) {
    m_on_crash_update = std::move(handler);
  }

  /// Frees memory of requests that are arriving and make no progress; returns
  /// false if there are none.
  using MemoryRelief = std::function<bool()>;
  void SetMemoryRelief(MemoryRelief relief) {
    m_relieve_memory = std::move(relief);
  }

  /// Sends a quota request to its keeper.
  using QuotaRequestSender = std::function<void(const AddressedQuotaRequest&)>;
  void SetQuotaRequestSender(QuotaRequestSender sender) {
    m_send_quota_request = std::move(sender);
  }

  /// Decides whether the body of a client's request may be read. Reserves the
  /// memory of the request, or returns the refusal. May be called again with
  /// more bytes.
  std::optional<HttpResponse> AdmitBody(HttpRequest& head, size_t body_bytes);
  /// The same for a request that another entry VM passes on.
  std::optional<HttpResponse> AdmitPassedOnBody(HttpRequest& head,
                                                size_t body_bytes);
  /// Handles a client's request. The reply handler is called once, unless the
  /// client closes its connection first.
  void Accept(HttpRequest request, HttpReply reply);
  /// Cancels all requests of a connection that the client closed.
  void ClientClosed(uint64_t connection);
  /// The same for a request that another entry VM passed on, and for its
  /// connection.
  void AcceptPassedOn(HttpRequest request, HttpReply reply);
  void PeerClosed(uint64_t connection);
  /// Port at which all entry VMs accept passed-on requests.
  void SetPeerPort(uint16_t port) { m_peer_port = port; }
  /// Runs the periodic work of steering and of the connection pool.
  void Tick();

  /// From now on every response closes its connection.
  void SetStopping() { m_is_stopping = true; }

  Steering& GetSteering() { return m_steering; }
  ServerPool& Pool() { return m_pool; }
  /// The bound on the memory of open requests.
  BodyBudget& Bodies() { return m_bodies; }

 private:
  /// A request that has not been answered yet.
  struct OpenRequest {
    /// Without its body.
    HttpRequest m_request;
    std::shared_ptr<const std::string> m_body;
    HttpReply m_reply;
    std::string m_id;
    RequestDigest m_digest;
    TimePoint m_arrived;
    /// For the request itself.
    BodyReservation m_held;
    /// Recognised as sent before and rejected.
    bool m_is_returning = false;
    /// Another entry VM passed it on.
    bool m_is_passed_on = false;
    size_t m_body_bytes = 0;
    /// Response of the last send that ended.
    HttpResponse m_server_response;
    BodyReservation m_response_held;
  };

  void Dispatch(const SteerAction& action);
  void Handle(const SendToServer& action);
  void Handle(const SendToPeer& action);
  void Handle(const CancelSend& action);
  void Handle(const ForwardServerAnswer& action);
  void Handle(const RefuseRequest& action);
  void Handle(const StateChanged& action);
  void Handle(const RegionSplitChanged& action);
  void Handle(const ServerRestarted& action);
  void Handle(const CheckServerReachable& action);
  void Handle(const ProbeServerReach& action);
  void Handle(const RequestSuspected& action);
  void Handle(const RequestHeld& action);
  void Handle(const HoldEnded& action);
  void Handle(const CrashRefuted& action);
  void Handle(const TrialBegun& action);
  void Handle(const CrashesDropped& action);
  void Handle(const SendQuotaRequest& action);

  /// Reserves the memory of a request, or returns false. Ends stalled requests
  /// if it does not fit beside them.
  bool ReserveBody(HttpRequest& head, size_t body_bytes);
  /// The refusal of a request whose body does not fit and has not been read.
  HttpResponse RefuseBody(const HttpRequest& head,
                          size_t body_bytes,
                          bool is_passed_on);
  void RefuseForMemory(RequestId request);
  /// Hands a well-formed request to the steering decisions.
  void Begin(HttpRequest request,
             HttpReply reply,
             std::optional<PassedOnTerms> passed_on);
  /// Determines the caller from the routing table in force.
  CallerIdentity IdentifyCaller(const RequestFacts& facts) const;
  /// The head of the request as it is sent to a server.
  std::string SerializeRequest(const OpenRequest& open,
                               const SendToServer& action) const;
  /// The head of the request as it is passed on to another entry VM.
  std::string SerializeForPeer(const OpenRequest& open,
                               const SendToPeer& action) const;
  void OnPeerSendEnded(RequestId request, AttemptId attempt, ServerReply reply);
  void OnSendEnded(RequestId request, AttemptId attempt, ServerReply reply);
  void Respond(RequestId request, HttpResponse response, const char* outcome);
  void RejectMalformed(const HttpReply& reply, int status, const char* problem);

  ProxyHeaderNames m_names;
  DecisionLog& m_log;
  ProxyMetrics& m_metrics;
  BodyBudget m_bodies;
  ServerPool m_pool;
  Steering m_steering;
  CrashUpdateHandler m_on_crash_update = [](const CrashUpdate&) {};
  QuotaRequestSender m_send_quota_request = [](const AddressedQuotaRequest&) {};
  MemoryRelief m_relieve_memory = [] { return false; };
  uint16_t m_peer_port = 0;
  uint64_t m_next_request = 1;
  SeenResponseFields m_response_fields;
  bool m_is_stopping = false;
  std::unordered_map<RequestId, OpenRequest> m_open_requests;
  std::multimap<uint64_t, RequestId> m_requests_by_connection;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_REQUEST_PROXY_H_
