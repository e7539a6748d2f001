/// @file steering_quotas.cc Tokens for organisations' quotas.

#include <utility>

#include "steer/steering.h"

namespace sorrelplank {

namespace {

/// Divides the share of a keeper that may have been replaced: cut off together
/// with VMs that still send it quota requests, it grants tokens in addition to
/// its replacement.
constexpr size_t kShareDivisorIfReplaced = 3;

}  // namespace

void Steering::TakeToken(SteeredRequest& request, TimePoint now) {
  const RequestId id = request.m_facts.m_request;
  const QuotaVerdict verdict =
      m_quota_gate.Arrived(id, HashOrganisation(request.m_organisation->m_name),
                           TermsOf(*request.m_organisation), now);
  request.m_awaits_token = verdict == QuotaVerdict::kWait;
  if (!request.m_awaits_token) {
    SettleQuota({{id, verdict}}, now);
  }
  SendQuotaRequests(now);
}

void Steering::SendQuotaRequests(TimePoint now) {
  for (AddressedQuotaRequest& addressed : m_quota_gate.TakeQuotaRequests()) {
    if (addressed.m_keeper == m_settings.m_vm) {
      ApplyQuotaGrant(GrantQuota(addressed.m_quota_request, now), now);
    } else {
      m_sink(SendQuotaRequest{std::move(addressed)});
    }
  }
  for (AddressedQuotaRequest& addressed : m_server_limits.TakeQuotaRequests()) {
    m_sink(SendQuotaRequest{std::move(addressed)});
  }
}

QuotaGrant Steering::GrantQuota(const QuotaRequest& quota_request,
                                TimePoint now) {
  if (quota_request.m_limit) {
    return m_server_limits.Grant(quota_request, now);
  }
  QuotaGrant grant;
  grant.m_subject = quota_request.m_subject;
  grant.m_number = quota_request.m_number;
  const Organisation* organisation =
      m_organisations ? m_organisations->FindByName(quota_request.m_subject)
                      : nullptr;
  const bool is_keeper =
      HasLimit(organisation) &&
      m_quota_gate.Directory().KeeperIn(
          m_settings.m_region, quota_request.m_subject) == m_settings.m_vm;
  if (!is_keeper) {
    return grant;
  }
  const size_t keepers = m_quota_gate.KeeperCount() *
                         (m_may_be_replaced ? kShareDivisorIfReplaced : 1);
  return m_quota_keeper.Grant(quota_request, TermsOf(*organisation), keepers,
                              now);
}

void Steering::ApplyQuotaGrant(const QuotaGrant& grant, TimePoint now) {
  if (m_server_limits.Contains(grant.m_subject)) {
    SettleServerTokens(m_server_limits.TakeGrant(grant, now), now);
    return;
  }
  SettleQuota(m_quota_gate.TakeGrant(grant, now), now);
  SendQuotaRequests(now);
}

void Steering::SettleQuota(const std::vector<QuotaOutcome>& outcomes,
                           TimePoint now) {
  for (const auto& [id, verdict] : outcomes) {
    SteeredRequest& request = m_requests.at(id);
    request.m_awaits_token = false;
    switch (verdict) {
      case QuotaVerdict::kWait:
        break;
      case QuotaVerdict::kPass:
        request.m_has_token = true;
        Begin(request, now);
        break;
      case QuotaVerdict::kExhausted:
        Refuse(request, SteerRefusal::kOverQuota, now);
        break;
      case QuotaVerdict::kKeepersUnreachable:
        Refuse(request, SteerRefusal::kQuotaOutOfReach, now);
        break;
    }
  }
}

void Steering::ReturnToken(SteeredRequest& request, TimePoint now) {
  if (!std::exchange(request.m_has_token, false)) {
    return;
  }
  if (request.m_organisation != nullptr) {
    m_quota_gate.Return(HashOrganisation(request.m_organisation->m_name), now);
  }
}

void Steering::StopAwaitingToken(SteeredRequest& request) {
  m_quota_gate.CancelWait(request.m_facts.m_request,
                          HashOrganisation(request.m_organisation->m_name));
  request.m_awaits_token = false;
}

}  // namespace sorrelplank
