/// @file server_limits.cc Server limits as quotas with one keeper.

#include "steer/server_limits.h"

#include <algorithm>
#include <utility>

#include "steer/server_state.h"

namespace sorrelplank {

namespace {

/// Tolerance of a limit: in any 4 s, one and a half times what it allows plus
/// five requests.
constexpr QuotaBounds kLimitBounds{.m_window = seconds(4),
                                   .m_excess = 0.5,
                                   .m_slack = 5};
/// Requests per second sent to a server whose limit is lower, or zero: only its
/// responses show that the limit has ended. Below the tolerance of five
/// requests in 4 s.
constexpr double kMinRequestsPerSecond = 0.25;
/// Divides the share of a keeper that may have been replaced: cut off together
/// with VMs that still send it quota requests, it grants tokens in addition to
/// its replacement.
constexpr size_t kShareDivisorIfReplaced = 3;
/// A VM of another region asks for a token again this long after the limit was
/// last named: only a response shows that the limit has ended.
constexpr Duration kRemoteRetryInterval = seconds(10);
/// Limits without quota requests for this time are dropped.
constexpr Duration kUnusedExpiry = seconds(60);
constexpr Duration kSweepInterval = seconds(5);

QuotaSubject SubjectOf(const ServerState& server) {
  return HashServer(server.Entry().m_instance);
}

QuotaTerms TermsOf(double per_second) {
  return {.m_rate_per_second = std::max(kMinRequestsPerSecond, per_second)};
}

}  // namespace

ServerLimits::ServerLimits(std::string vm,
                           std::string region,
                           const std::vector<std::string>& regions)
    : m_vm(std::move(vm)), m_region(std::move(region)), m_regions(regions) {
  m_keeper.SetBounds(kLimitBounds);
  m_gates.reserve(m_regions.size());
  for (const std::string& one : m_regions) {
    m_gates.emplace_back(std::vector<std::string>{one});
    m_gates.back().SetBounds(kLimitBounds);
  }
}

void ServerLimits::SetFleet(const std::vector<FleetMember>& fleet,
                            TimePoint now) {
  for (QuotaGate& gate : m_gates) {
    gate.SetFleet(fleet);
  }
  m_keeper.FleetChanged(now);
}

QuotaGate& ServerLimits::GateOf(const ServerState& server) {
  return m_gates[server.Region()];
}

const QuotaGate& ServerLimits::GateOf(const ServerState& server) const {
  return m_gates[server.Region()];
}

bool ServerLimits::MayTry(const ServerState& server, TimePoint now) const {
  return !server.Notices().MaxPerSecond() ||
         !GateOf(server).IsRefused(SubjectOf(server), now);
}

bool ServerLimits::IsReservedForItsRegion(const ServerState& server,
                                          TimePoint now) const {
  const std::string& region = m_regions[server.Region()];
  const bool is_remote = server.Notices().MaxPerSecond() && region != m_region;
  return is_remote &&
         now - server.Notices().LimitNamedAt() < kRemoteRetryInterval &&
         !GateOf(server)
              .Directory()
              .KeeperIn(region, SubjectOf(server))
              .empty();
}

Duration ServerLimits::TimeUntilToken(const ServerState& server,
                                      TimePoint now) const {
  return MayTry(server, now) ? Duration::zero()
                             : GateOf(server).RetryAfter(SubjectOf(server));
}

const ServerLimits::KnownLimit& ServerLimits::UpdateLimit(
    QuotaSubject subject,
    size_t region,
    const NamedLimit& limit,
    TimePoint now) {
  KnownLimit& known = m_known_limits[subject];
  known.m_region = region;
  known.m_used_at = now;
  const TimePoint named = now - limit.m_age;
  if (named >= known.m_named_at) {
    known.m_per_second = limit.m_per_second;
    known.m_named_at = named;
  }
  return known;
}

QuotaVerdict ServerLimits::Arrived(RequestId request,
                                   const ServerState& server,
                                   TimePoint now) {
  const QuotaSubject subject = SubjectOf(server);
  const KnownLimit& known =
      UpdateLimit(subject, server.Region(),
                  {server.Notices().MaxPerSecond().value_or(0),
                   now - server.Notices().LimitNamedAt()},
                  now);
  QuotaGate& gate = GateOf(server);
  QuotaVerdict verdict =
      gate.Arrived(request, subject, TermsOf(known.m_per_second), now);
  for (const QuotaOutcome& outcome : ForwardQuotaRequests(gate, now)) {
    if (outcome.m_request == request) {
      verdict = outcome.m_verdict;
    } else {
      m_pending_outcomes.push_back(outcome);
    }
  }
  return verdict;
}

void ServerLimits::CancelWait(RequestId request, const ServerState& server) {
  GateOf(server).CancelWait(request, SubjectOf(server));
  std::erase_if(m_pending_outcomes, [request](const QuotaOutcome& outcome) {
    return outcome.m_request == request;
  });
}

void ServerLimits::Return(const ServerState& server, TimePoint now) {
  GateOf(server).Return(SubjectOf(server), now);
}

std::vector<QuotaOutcome> ServerLimits::ForwardQuotaRequests(QuotaGate& gate,
                                                             TimePoint now) {
  std::vector<QuotaOutcome> outcomes;
  for (AddressedQuotaRequest& addressed : gate.TakeQuotaRequests()) {
    const KnownLimit& known =
        m_known_limits.at(addressed.m_quota_request.m_subject);
    addressed.m_quota_request.m_limit =
        NamedLimit{known.m_per_second, now - known.m_named_at};
    if (addressed.m_keeper != m_vm) {
      m_quota_requests.push_back(std::move(addressed));
      continue;
    }
    const auto settled =
        gate.TakeGrant(Grant(addressed.m_quota_request, now), now);
    outcomes.insert(outcomes.end(), settled.begin(), settled.end());
  }
  return outcomes;
}

std::vector<AddressedQuotaRequest> ServerLimits::TakeQuotaRequests() {
  return std::exchange(m_quota_requests, {});
}

std::vector<QuotaOutcome> ServerLimits::TakeGrant(const QuotaGrant& grant,
                                                  TimePoint now) {
  QuotaGate& gate = m_gates[m_known_limits.at(grant.m_subject).m_region];
  std::vector<QuotaOutcome> outcomes = gate.TakeGrant(grant, now);
  const auto more = ForwardQuotaRequests(gate, now);
  outcomes.insert(outcomes.end(), more.begin(), more.end());
  return outcomes;
}

std::vector<QuotaOutcome> ServerLimits::Tick(TimePoint now) {
  std::vector<QuotaOutcome> outcomes = std::exchange(m_pending_outcomes, {});
  for (QuotaGate& gate : m_gates) {
    const auto silent = gate.Tick(now);
    outcomes.insert(outcomes.end(), silent.begin(), silent.end());
    const auto more = ForwardQuotaRequests(gate, now);
    outcomes.insert(outcomes.end(), more.begin(), more.end());
  }
  m_keeper.DropUnused(now);
  DropUnused(now);
  return outcomes;
}

QuotaGrant ServerLimits::Grant(const QuotaRequest& quota_request,
                               TimePoint now) {
  const auto region = std::find(m_regions.begin(), m_regions.end(), m_region);
  const auto own = static_cast<size_t>(region - m_regions.begin());
  const bool is_keeper =
      quota_request.m_limit && m_gates[own].Directory().KeeperIn(
                                   m_region, quota_request.m_subject) == m_vm;
  if (!is_keeper) {
    return {.m_subject = quota_request.m_subject,
            .m_number = quota_request.m_number};
  }
  const KnownLimit& known =
      UpdateLimit(quota_request.m_subject, own, *quota_request.m_limit, now);
  return m_keeper.Grant(quota_request, TermsOf(known.m_per_second),
                        m_may_be_replaced ? kShareDivisorIfReplaced : 1, now);
}

size_t ServerLimits::WaitingCount() const {
  size_t count = 0;
  for (const QuotaGate& gate : m_gates) {
    count += gate.WaitingCount();
  }
  return count;
}

void ServerLimits::DropUnused(TimePoint now) {
  if (now - m_last_sweep < kSweepInterval) {
    return;
  }
  m_last_sweep = now;
  std::erase_if(m_known_limits, [now](const auto& one) {
    return now - one.second.m_used_at > kUnusedExpiry;
  });
}

}  // namespace sorrelplank
