/// @file call_gateway.h Accepts, dispatches and answers requests.

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
#include "serve/answer_store.h"
#include "serve/node_driver.h"
#include "serve/pending_call_type.h"

namespace sorrelplank {

class HttpClient;
class MetricsExport;

/// The filters at both ends of the pipeline: accept, dispatch and answer. All
/// between them is decided in the core.
class CallGateway {
 public:
  CallGateway(NodeDriver& driver,
              HttpClient& http,
              PeerClient& peers,
              MetricsExport& metrics,
              size_t kept_answer_bytes);

  /// A request of a caller, to /v1/call/SERVICE/...
  void AcceptCall(HttpRequest request, HttpReply reply);
  /// The caller's connection was closed.
  void CallerClosed(uint64_t connection);

  /// A request handed on by another entry VM.
  void AcceptHandOn(uint64_t call,
                    const proto::HandOnRequest& request,
                    PeerHandlers::Done<proto::HandOnReply> done);
  void HandOnCancelled(uint64_t call);

  /// Another entry VM asks about a key.
  proto::SeenReply AnswerSeen(const proto::SeenRequest& request);

  /// Failure runs only: whether an address is cut off.
  void SetCutTest(std::function<bool(uint32_t ip)> is_cut) {
    m_is_cut = std::move(is_cut);
  }

 private:
  void Take(const Action& action);
  void Run(const DispatchToBackend& action);
  void Run(const HandOnToVm& action);
  void Run(const CancelAttempt& action);
  void Run(const ForwardAnswer& action);
  void Run(const ReplayAnswer& action);
  void Run(const ReplayPeerAnswer& action);
  void Run(const RefuseCall& action);
  void Run(const AskSeen& action);

  void BackendEnded(RequestId request, AttemptId attempt, HttpResult result);
  void HandOnEnded(RequestId request,
                   AttemptId attempt,
                   PeerOutcome end,
                   const proto::HandOnReply& reply);
  void SeenEnded(RequestId request,
                 const VmName& vm,
                 PeerOutcome end,
                 const proto::SeenReply& reply);
  /// The answer is a copy: what it came from ends with the request.
  void Finish(RequestId request,
              HttpResponse answer,
              Verdict verdict,
              const char* reason,
              Duration retry_after,
              const ServiceSlots& slots);
  /// A request's final answer.
  struct Final {
    HttpResponse m_answer;
    Verdict m_verdict = Verdict::kNotRun;
    const char* m_reason = "";
    Duration m_retry_after{};
    ServiceSlots m_slots;
  };
  void Tell(const FromPeer& peer,
            RequestId request,
            const PendingCall& pending,
            const Final& final);
  void Tell(const FromCaller& caller,
            RequestId request,
            const PendingCall& pending,
            const Final& final);
  void AnswerGone(RequestId request);

  NodeDriver& m_driver;
  HttpClient& m_http;
  PeerClient& m_peers;
  MetricsExport& m_metrics;
  AnswerStore m_answers;
  uint64_t m_next_request = 1;
  std::unordered_map<RequestId, PendingCall> m_pending;
  std::unordered_map<AttemptId, RequestId> m_attempts;
  std::multimap<uint64_t, RequestId> m_by_connection;
  std::map<uint64_t, RequestId> m_by_peer_call;
  std::function<bool(uint32_t)> m_is_cut;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_CALL_GATEWAY_H_
