/// @file steering_limits.cc Tokens for servers with a rate limit.

#include <utility>

#include "steer/steering.h"

namespace sorrelplank {

bool Steering::TakeServerToken(SteeredRequest& request,
                               ServerState* server,
                               TimePoint now) {
  const QuotaVerdict verdict =
      m_server_limits.Arrived(request.m_facts.m_request, *server, now);
  SendQuotaRequests(now);
  switch (verdict) {
    case QuotaVerdict::kPass:
      Send(request, server, now);
      return true;
    case QuotaVerdict::kWait:
      request.m_awaits_server = m_servers.at(server->Entry().m_instance);
      return true;
    case QuotaVerdict::kExhausted:
    case QuotaVerdict::kKeepersUnreachable:
      break;
  }
  return false;
}

void Steering::SettleServerTokens(const std::vector<QuotaOutcome>& outcomes,
                                  TimePoint now) {
  for (const auto& [id, verdict] : outcomes) {
    SteeredRequest& request = m_requests.at(id);
    const auto server = std::exchange(request.m_awaits_server, nullptr);
    const bool may_send = IsListed(*server) && m_picker.MaySend(*server, now);
    if (verdict == QuotaVerdict::kPass && may_send) {
      Send(request, server.get(), now);
      continue;
    }
    if (verdict == QuotaVerdict::kPass) {
      m_server_limits.Return(*server, now);
    }
    Dispatch(request, now);
  }
  SendQuotaRequests(now);
}

void Steering::StopAwaitingServer(SteeredRequest& request) {
  const auto server = std::exchange(request.m_awaits_server, nullptr);
  m_server_limits.CancelWait(request.m_facts.m_request, *server);
}

}  // namespace sorrelplank
