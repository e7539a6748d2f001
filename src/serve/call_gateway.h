/// @file call_gateway.h Accepts requests, dispatches them and sends responses.

#ifndef SORRELPLANK_SERVE_CALL_GATEWAY_H_
#define SORRELPLANK_SERVE_CALL_GATEWAY_H_

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "core/action_type.h"
#include "net/http_message_type.h"
#include "net/peer_client.h"
#include "net/peer_server.h"
#include "serve/node_driver.h"
#include "serve/pending_call_type.h"
#include "serve/response_store.h"

namespace sorrelplank {

class HttpClient;
class MetricsExport;

/// The first and last stages of the request pipeline: accepts requests,
/// dispatches them and sends the responses. The core takes the decisions in
/// between.
class CallGateway {
 public:
  CallGateway(NodeDriver& driver,
              HttpClient& http,
              PeerClient& peers,
              MetricsExport& metrics,
              size_t max_stored_bytes);

  /// Accepts a caller's request to /v1/call/SERVICE/...
  void AcceptCall(HttpRequest request, HttpReply reply);
  /// Reports to the core that the caller of the connection's requests has left.
  void CallerClosed(uint64_t connection);

  /// Accepts a request that another entry VM forwarded.
  void AcceptHandOn(uint64_t call,
                    const proto::HandOnRequest& request,
                    PeerHandlers::Done<proto::HandOnReply> done);
  void HandOnCancelled(uint64_t call);

  /// Answers another entry VM's query for the state of a key.
  proto::SeenReply AnswerSeen(const proto::SeenRequest& request);

  /// Sets the check for addresses that are cut off; fault injection only.
  void SetCutOffCheck(std::function<bool(uint32_t ip)> is_cut_off) {
    m_is_cut_off = std::move(is_cut_off);
  }

 private:
  void HandleAction(const Action& action);
  void Execute(const DispatchToBackend& action);
  void Execute(const HandOnToVm& action);
  void Execute(const CancelAttempt& action);
  void Execute(const ForwardAnswer& action);
  void Execute(const ReplayAnswer& action);
  void Execute(const ReplayPeerAnswer& action);
  void Execute(const RefuseCall& action);
  void Execute(const QueryKeyState& action);

  void BackendEnded(RequestId request, AttemptId attempt, HttpResult result);
  void HandOnEnded(RequestId request,
                   AttemptId attempt,
                   PeerOutcome end,
                   const proto::HandOnReply& reply);
  void SeenEnded(RequestId request,
                 const VmName& vm,
                 PeerOutcome end,
                 const proto::SeenReply& reply);
  /// Sends the response and ends the request. Takes the response by value
  /// because the pending request that may own it is removed.
  void Finish(RequestId request,
              HttpResponse response,
              Verdict verdict,
              const char* reason,
              Duration retry_after,
              const ServiceSlots& slots);
  /// The final response to a request, with its verdict.
  struct FinalResponse {
    HttpResponse m_response;
    Verdict m_verdict = Verdict::kNotRun;
    const char* m_reason = "";
    Duration m_retry_after{};
    ServiceSlots m_slots;
  };
  void SendResponse(const FromPeer& peer,
                    RequestId request,
                    const PendingCall& pending,
                    const FinalResponse& final_response);
  void SendResponse(const FromCaller& caller,
                    RequestId request,
                    const PendingCall& pending,
                    const FinalResponse& final_response);
  /// Answers a repeat whose earlier response is no longer stored.
  void ReportResponseGone(RequestId request);

  NodeDriver& m_driver;
  HttpClient& m_http;
  PeerClient& m_peers;
  MetricsExport& m_metrics;
  ResponseStore m_stored_responses;
  uint64_t m_next_request = 1;
  std::unordered_map<RequestId, PendingCall> m_pending;
  std::unordered_map<AttemptId, RequestId> m_attempts;
  std::multimap<uint64_t, RequestId> m_by_connection;
  std::map<uint64_t, RequestId> m_by_peer_call;
  std::function<bool(uint32_t)> m_is_cut_off;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_CALL_GATEWAY_H_
