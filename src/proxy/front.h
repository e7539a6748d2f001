/// @file front.h Carries clients' requests to backend servers and back.

#ifndef SORRELPLANK_PROXY_FRONT_H_
#define SORRELPLANK_PROXY_FRONT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "core/ids_type.h"
#include "core/request_digest_type.h"
#include "net/http_message_type.h"
#include "proxy/answer_fields.h"
#include "proxy/proxy_names_type.h"
#include "proxy/request_digest_func.h"
#include "proxy/server_pool.h"
#include "proxy/server_reply_type.h"
#include "steer/steering.h"

namespace sorrelplank {

class DecisionLog;
class ProxyMetrics;

/// What one VM tells the others of requests that end servers.
using CrashNews = std::variant<CrashReport, CrashesForgotten>;

/// Both ends of a request's way: all between them is decided by Steering.
class Front {
 public:
  Front(asio::io_context& io,
        const SteeringSettings& settings,
        ProxyNames names,
        DecisionLog& log,
        ProxyMetrics& metrics);

  /// Takes what this VM has to tell the others of requests that end servers.
  using CrashTeller = std::function<void(const CrashNews&)>;
  void SetCrashTeller(CrashTeller teller) { m_tell_crash = std::move(teller); }

  /// Takes questions to keepers of quotas; to be sent to them.
  using QuotaAsker = std::function<void(const AddressedQuotaRequest&)>;
  void SetQuotaAsker(QuotaAsker asker) { m_ask_for_tokens = std::move(asker); }

  /// A client's request.
  void Accept(HttpRequest request, HttpReply reply);
  /// The client closed its connection: all its requests are given up.
  void ClientClosed(uint64_t connection);
  /// Time passes.
  void Tick();

  /// From now on every answer closes its connection.
  void SetStopping() { m_is_stopping = true; }

  Steering& Decisions() { return m_steering; }
  ServerPool& Pool() { return m_pool; }

 private:
  /// A request that has no answer yet.
  struct Open {
    HttpRequest m_request;
    HttpReply m_reply;
    std::string m_id;
    RequestDigest m_digest;
    TimePoint m_arrived;
    /// What the last send that ended brought.
    HttpResponse m_server_answer;
  };

  void Take(const SteerAction& action);
  void Run(const SendToServer& action);
  void Run(const CancelSend& action);
  void Run(const ForwardServerAnswer& action);
  void Run(const RefuseRequest& action);
  void Run(const BeliefChanged& action);
  void Run(const SplitMoved& action);
  void Run(const ServerRestarted& action);
  void Run(const CheckServerReach& action);
  void Run(const RequestSuspected& action);
  void Run(const RequestHeld& action);
  void Run(const HoldEnded& action);
  void Run(const CrashesForgotten& action);
  void Run(const AskForTokens& action);

  /// Who asks, by the table in force.
  CallerIdentity CallerOf(const RequestFacts& facts) const;
  std::string BuildBytes(const Open& open, const SendToServer& action) const;
  void SendEnded(RequestId request, AttemptId attempt, ServerReply reply);
  void Answer(RequestId request, HttpResponse response, const char* outcome);
  void AnswerMalformed(const HttpReply& reply, int status, const char* problem);

  ProxyNames m_names;
  DecisionLog& m_log;
  ProxyMetrics& m_metrics;
  ServerPool m_pool;
  Steering m_steering;
  CrashTeller m_tell_crash = [](const CrashNews&) {};
  QuotaAsker m_ask_for_tokens = [](const AddressedQuotaRequest&) {};
  uint64_t m_next_request = 1;
  AnswerFields m_answer_fields;
  bool m_is_stopping = false;
  std::unordered_map<RequestId, Open> m_open;
  std::multimap<uint64_t, RequestId> m_by_connection;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_FRONT_H_
