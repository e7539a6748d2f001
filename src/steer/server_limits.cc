/// @file server_limits.cc Limits as quotas with one keeper.

#include "steer/server_limits.h"

#include <algorithm>
#include <utility>

#include "steer/server_state.h"

namespace sorrelplank {

namespace {

/// How exactly a limit must hold: in any 4 s one and a half times what it
/// allows, and five requests.
constexpr QuotaBounds kLimitBounds{.m_window = seconds(4),
                                   .m_excess = 0.5,
                                   .m_slack = 5};
/// Requests a second to a server that takes fewer, or none: only its answers
/// tell that the limit has ended. Less than the five in 4 s.
constexpr double kLeastPerSecond = 0.25;
/// A keeper that may have been replaced has a part so much smaller: cut off
/// with those that still ask it, it grants beside the one in its place.
constexpr size_t kPartsIfReplaced = 3;
/// A VM of another region asks for a token again this long after an answer that
/// named the limit: nothing but an answer tells that it has ended.
constexpr Duration kRemoteRetryInterval = seconds(10);
/// Limits that nobody asked for are forgotten.
constexpr Duration kUnusedFor = seconds(60);
constexpr Duration kSweepInterval = seconds(5);

QuotaSubject SubjectOf(const ServerState& server) {
  return HashServer(server.Entry().m_instance);
}

QuotaTerms TermsOf(double per_second) {
  return {.m_rate_per_second = std::max(kLeastPerSecond, per_second)};
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
  return !server.Notices().MostPerSecond() ||
         !GateOf(server).IsRefused(SubjectOf(server), now);
}

bool ServerLimits::IsLeftToItsRegion(const ServerState& server,
                                     TimePoint now) const {
  const std::string& region = m_regions[server.Region()];
  const bool is_remote = server.Notices().MostPerSecond() && region != m_region;
  return is_remote &&
         now - server.Notices().LimitNamed() < kRemoteRetryInterval &&
         !GateOf(server)
              .Directory()
              .KeeperIn(region, SubjectOf(server))
              .empty();
}

Duration ServerLimits::WaitFor(const ServerState& server, TimePoint now) const {
  return MayTry(server, now) ? Duration::zero()
                             : GateOf(server).ComeBackAfter(SubjectOf(server));
}

const ServerLimits::Known& ServerLimits::Learn(QuotaSubject subject,
                                               size_t region,
                                               const NamedLimit& limit,
                                               TimePoint now) {
  Known& known = m_known[subject];
  known.m_region = region;
  known.m_used = now;
  const TimePoint named = now - limit.m_age;
  if (named >= known.m_named) {
    known.m_per_second = limit.m_per_second;
    known.m_named = named;
  }
  return known;
}

QuotaVerdict ServerLimits::Arrived(RequestId request,
                                   const ServerState& server,
                                   TimePoint now) {
  const QuotaSubject subject = SubjectOf(server);
  const Known& known = Learn(subject, server.Region(),
                             {server.Notices().MostPerSecond().value_or(0),
                              now - server.Notices().LimitNamed()},
                             now);
  QuotaGate& gate = GateOf(server);
  QuotaVerdict verdict =
      gate.Arrived(request, subject, TermsOf(known.m_per_second), now);
  for (const QuotaOutcome& outcome : Ask(gate, now)) {
    if (outcome.m_request == request) {
      verdict = outcome.m_verdict;
    } else {
      m_found.push_back(outcome);
    }
  }
  return verdict;
}

void ServerLimits::Left(RequestId request, const ServerState& server) {
  GateOf(server).Left(request, SubjectOf(server));
  std::erase_if(m_found, [request](const QuotaOutcome& outcome) {
    return outcome.m_request == request;
  });
}

void ServerLimits::Return(const ServerState& server, TimePoint now) {
  GateOf(server).Return(SubjectOf(server), now);
}

std::vector<QuotaOutcome> ServerLimits::Ask(QuotaGate& gate, TimePoint now) {
  std::vector<QuotaOutcome> outcomes;
  for (QuotaQuestion& question : gate.TakeQuestions()) {
    const Known& known = m_known.at(question.m_ask.m_subject);
    question.m_ask.m_limit =
        NamedLimit{known.m_per_second, now - known.m_named};
    if (question.m_keeper != m_vm) {
      m_questions.push_back(std::move(question));
      continue;
    }
    const auto settled = gate.TakeGrant(Grant(question.m_ask, now), now);
    outcomes.insert(outcomes.end(), settled.begin(), settled.end());
  }
  return outcomes;
}

std::vector<QuotaQuestion> ServerLimits::TakeQuestions() {
  return std::exchange(m_questions, {});
}

std::vector<QuotaOutcome> ServerLimits::TakeGrant(const QuotaGrant& grant,
                                                  TimePoint now) {
  QuotaGate& gate = m_gates[m_known.at(grant.m_subject).m_region];
  std::vector<QuotaOutcome> outcomes = gate.TakeGrant(grant, now);
  const auto more = Ask(gate, now);
  outcomes.insert(outcomes.end(), more.begin(), more.end());
  return outcomes;
}

std::vector<QuotaOutcome> ServerLimits::Tick(TimePoint now) {
  std::vector<QuotaOutcome> outcomes = std::exchange(m_found, {});
  for (QuotaGate& gate : m_gates) {
    const auto silent = gate.Tick(now);
    outcomes.insert(outcomes.end(), silent.begin(), silent.end());
    const auto more = Ask(gate, now);
    outcomes.insert(outcomes.end(), more.begin(), more.end());
  }
  m_keeper.ForgetUnused(now);
  ForgetUnused(now);
  return outcomes;
}

QuotaGrant ServerLimits::Grant(const QuotaAsk& ask, TimePoint now) {
  const auto region = std::find(m_regions.begin(), m_regions.end(), m_region);
  const auto own = static_cast<size_t>(region - m_regions.begin());
  const bool is_keeper = ask.m_limit && m_gates[own].Directory().KeeperIn(
                                            m_region, ask.m_subject) == m_vm;
  if (!is_keeper) {
    return {.m_subject = ask.m_subject, .m_number = ask.m_number};
  }
  const Known& known = Learn(ask.m_subject, own, *ask.m_limit, now);
  return m_keeper.Grant(ask, TermsOf(known.m_per_second),
                        m_may_be_replaced ? kPartsIfReplaced : 1, now);
}

size_t ServerLimits::WaitingCount() const {
  size_t count = 0;
  for (const QuotaGate& gate : m_gates) {
    count += gate.WaitingCount();
  }
  return count;
}

void ServerLimits::ForgetUnused(TimePoint now) {
  if (now - m_swept < kSweepInterval) {
    return;
  }
  m_swept = now;
  std::erase_if(m_known, [now](const auto& one) {
    return now - one.second.m_used > kUnusedFor;
  });
}

}  // namespace sorrelplank
