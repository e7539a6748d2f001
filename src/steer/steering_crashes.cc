/// @file steering_crashes.cc Detects, reports and holds back requests that
/// crash backend servers.

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "steer/steering.h"

namespace sorrelplank {

namespace {

/// Crashes after which a request is not retried at once. A crash also hits the
/// other requests at the server: after a single one, most requests did not
/// cause it and are retried at once; two in a row are rarely chance.
constexpr size_t kCrashesToDelayRetry = 2;
/// Interval between searches for expired records.
constexpr Duration kCrashSweepInterval = seconds(1);

}  // namespace

bool Steering::MayHaveCrashed(const ServerState& server) const {
  // A server that is shutting down may close its connections at its planned
  // end.
  return IsListed(server) && m_picker.IsUsable(server);
}

bool Steering::IsSuspect(const SteeredRequest& request, TimePoint now) const {
  return m_crashes.CrashCount(request.m_facts.m_digest, now) > 0;
}

bool Steering::IsRetryForbidden(const SteeredRequest& request,
                                TimePoint now) const {
  return m_crashes.CrashCount(request.m_facts.m_digest, now) >=
         kCrashesToDelayRetry;
}

void Steering::CountLost(SteeredRequest& request,
                         const ServerState& server,
                         Duration under_way,
                         bool server_ended,
                         TimePoint now) {
  ++request.m_lost_sends;
  CrashReport report = ReportOf(request, server, under_way);
  if (server_ended) {
    NoteOwnCrash(report, now);
    return;
  }
  if (!MayHaveCrashed(server)) {
    return;
  }
  const size_t crashes =
      m_crashes.CrashCount(request.m_facts.m_digest, now) + 1;
  // If the request were retried before the check, it could crash the next
  // server. It does not wait if this was its first loss and no crash is known
  // for it.
  request.m_awaits_check =
      request.m_route->m_idempotent && request.m_live_attempts.empty() &&
      std::max<size_t>(crashes, request.m_lost_sends) >= kCrashesToDelayRetry;
  CheckServer(request, std::move(report), server.Entry(), now);
}

CrashReport Steering::ReportOf(const SteeredRequest& request,
                               const ServerState& server,
                               Duration under_way) {
  return {{request.m_facts.m_digest, RunName(server.Entry())},
          {.m_age = {}, .m_under_way = under_way, .m_observer = ""},
          request.m_service,
          request.m_facts.m_host,
          request.m_facts.m_path};
}

void Steering::CheckServer(const SteeredRequest& request,
                           CrashReport report,
                           const ServerEntry& entry,
                           TimePoint now) {
  auto& pending = m_pending_crash_checks[entry.m_instance];
  pending.push_back({request.m_facts.m_request, std::move(report), now});
  if (pending.size() == 1) {
    m_sink(CheckServerReachable{entry.m_instance, entry.m_address});
  }
}

void Steering::ServerChecked(const std::string& instance,
                             ServerReach reach,
                             TimePoint now) {
  const auto it = m_pending_crash_checks.find(instance);
  if (it == m_pending_crash_checks.end()) {
    return;
  }
  if (reach == ServerReach::kRefusesConnections && !ReachesServers()) {
    reach = ServerReach::kUnknown;
  }
  if (reach == ServerReach::kRefusesConnections && m_reach.IsUncertain(now)) {
    // A VM that loses its paths to all servers sees each of them lose requests
    // and refuse connections.
    m_refused_checks.insert(instance);
    return;
  }
  const std::vector<PendingCrashCheck> checks = std::move(it->second);
  m_pending_crash_checks.erase(it);
  for (const PendingCrashCheck& check : checks) {
    if (reach == ServerReach::kRefusesConnections) {
      CrashReport report = check.m_report;
      report.m_sighting.m_age = now - check.m_lost;
      NoteOwnCrash(report, now);
    }
    const auto request = m_requests.find(check.m_request);
    if (request != m_requests.end() && request->second.m_awaits_check) {
      request->second.m_awaits_check = false;
      RetryOrFail(request->second, AttemptId(), AttemptEnd::kLost, now);
    }
  }
}

void Steering::SettleRefusedChecks(TimePoint now) {
  if (m_refused_checks.empty() || m_reach.IsUncertain(now)) {
    return;
  }
  std::set<std::string> refused;
  refused.swap(m_refused_checks);
  for (const std::string& instance : refused) {
    ServerChecked(instance, ServerReach::kRefusesConnections, now);
  }
}

void Steering::NoteOwnCrash(const CrashReport& report, TimePoint now) {
  const auto change = m_crashes.Add(report.m_record, report.m_sighting, now);
  if (change == CrashRegister::Change::kRefuted) {
    m_sink(CrashRefuted{report.m_record});
    return;
  }
  if (change == CrashRegister::Change::kNone) {
    return;
  }
  m_sink(RequestSuspected{report,
                          m_crashes.CrashCount(report.m_record.m_digest, now)});
  if (change == CrashRegister::Change::kHeld) {
    HoldBack(report.m_record.m_digest, now);
  }
}

void Steering::ApplyPeerCrash(const CrashRecord& record,
                              const CrashSighting& sighting,
                              TimePoint now) {
  switch (m_crashes.Add(record, sighting, now)) {
    case CrashRegister::Change::kNone:
    case CrashRegister::Change::kSuspected:
      return;
    case CrashRegister::Change::kRefuted:
      m_sink(CrashesDropped{{record}, "answered"});
      return;
    case CrashRegister::Change::kHeld:
      HoldBack(record.m_digest, now);
      return;
  }
}

void Steering::DropCrash(const CrashRecord& record, TimePoint now) {
  const bool was_held = m_crashes.IsHeldBack(record.m_digest, now);
  m_crashes.Remove(record);
  if (was_held && !m_crashes.IsHeldBack(record.m_digest, now)) {
    m_sink(HoldEnded{record.m_digest});
  }
}

void Steering::HoldBack(const RequestDigest& digest, TimePoint now) {
  m_sink(RequestHeld{digest, m_crashes.CrashCount(digest, now)});
  const TimePoint last_crash = m_crashes.LastCrash(digest);
  std::vector<RequestId> same;
  for (const auto& [id, request] : m_requests) {
    const bool is_begun = request.m_route != nullptr;
    // If a run has outlived the crashes, its response refutes them.
    const bool outlived_crashes = std::any_of(
        request.m_live_attempts.begin(), request.m_live_attempts.end(),
        [last_crash](const LiveAttempt& live) {
          return live.m_sent < last_crash;
        });
    if (is_begun && request.m_facts.m_digest == digest && !outlived_crashes) {
      same.push_back(id);
    }
  }
  for (const RequestId id : same) {
    SteeredRequest& request = m_requests.at(id);
    // A server that has not started the request drops it with the connection,
    // but it is unknown whether it had.
    request.m_may_have_run |=
        !request.m_live_attempts.empty() || request.m_peer_attempt;
    CancelLiveAttempts(request, false, now);
    Refuse(request, SteerRefusal::kHeldBack, now);
  }
}

void Steering::ClearSuspicion(const RequestDigest& digest, TimePoint now) {
  const bool was_held = m_crashes.IsHeldBack(digest, now);
  std::vector<CrashRecord> records = m_crashes.NoteAnswer(digest, now);
  if (records.empty()) {
    return;
  }
  m_sink(CrashesDropped{std::move(records), "answered"});
  if (was_held) {
    m_sink(HoldEnded{digest});
  }
}

bool Steering::TryBeginTrial(const SteeredRequest& request, TimePoint now) {
  const RequestDigest& digest = request.m_facts.m_digest;
  if (!m_crashes.IsTrialDue(digest, now) || !RunsTrialsOf(digest)) {
    return false;
  }
  const bool is_other_open =
      std::any_of(m_requests.begin(), m_requests.end(), [&](const auto& entry) {
        return &entry.second != &request &&
               entry.second.m_facts.m_digest == digest;
      });
  if (is_other_open) {
    return false;
  }
  m_crashes.NoteTrial(digest, now);
  m_sink(TrialBegun{request.m_facts.m_request, digest});
  return true;
}

void Steering::UndoTrial(SteeredRequest& request) {
  if (std::exchange(request.m_is_trial, false)) {
    m_crashes.UndoTrial(request.m_facts.m_digest);
  }
}

bool Steering::RunsTrialsOf(const RequestDigest& digest) const {
  const auto weight = [&digest](const FleetMember& member) {
    return XXH3_64bits_withSeed(member.m_vm.data(), member.m_vm.size(),
                                digest.m_high ^ digest.m_low);
  };
  const std::vector<FleetMember>& fleet = m_picker.Fleet();
  const auto first = std::max_element(
      fleet.begin(), fleet.end(),
      [&weight](const FleetMember& one, const FleetMember& other) {
        return weight(one) < weight(other);
      });
  return first == fleet.end() || first->m_vm == m_settings.m_vm;
}

void Steering::DropExpiredCrashes(TimePoint now) {
  if (now - m_crashes_swept < kCrashSweepInterval) {
    return;
  }
  m_crashes_swept = now;
  std::vector<CrashRecord> expired =
      m_crashes.TakeExpired(m_removal_spread, now);
  if (!expired.empty()) {
    m_sink(CrashesDropped{std::move(expired), "expired"});
  }
}

}  // namespace sorrelplank
