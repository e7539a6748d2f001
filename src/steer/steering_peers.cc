/// @file steering_peers.cc Passing requests on to other entry VMs while this
/// one reaches no backend server.

#include <algorithm>
#include <utility>

#include "steer/steering.h"
#include "table/steer_refusal_table.h"

namespace sorrelplank {

namespace {

/// VMs that one request is passed on to. Those that cannot serve it say so
/// within a round trip.
constexpr size_t kMaxTriedPeers = 3;

/// Whether a VM refused the request for a reason that another VM need not have.
/// It has not run then.
bool CanAnotherVmServe(SteerRefusal reason) {
  switch (reason) {
    case SteerRefusal::kNotReady:
    case SteerRefusal::kNoServer:
    case SteerRefusal::kRetriesSpent:
    case SteerRefusal::kStopping:
    case SteerRefusal::kTableMayBeOld:
    case SteerRefusal::kNoMemory:
      return true;
    default:
      return false;
  }
}

}  // namespace

const char* PeerEndName(PeerEnd end) {
  switch (end) {
    case PeerEnd::kAnswered:
      return "answered";
    case PeerEnd::kNotSent:
      return "not_sent";
    case PeerEnd::kLost:
      return "lost";
  }
  return "";
}

std::optional<SteerRefusal> FindSteerRefusal(std::string_view name) {
  for (const SteerRefusalRow& row : kSteerRefusalTable) {
    if (row.m_name == name) {
      return row.m_reason;
    }
  }
  return std::nullopt;
}

bool Steering::MayPassOn(SteeredRequest& request, TimePoint now) {
  if (request.m_facts.m_passed_on || request.m_peer_attempt ||
      request.m_tried_peers.size() >= kMaxTriedPeers) {
    return false;
  }
  // A request that may have reached a server counts as a retry.
  return request.m_started_sends == 0 ? now < request.m_deadline
                                      : MayRetry(request, now);
}

bool Steering::PassOn(SteeredRequest& request, TimePoint now) {
  if (!MayPassOn(request, now)) {
    return false;
  }
  const FleetMember* const peer = m_peers.Pick(
      m_picker.Fleet(),
      [&](const FleetMember& member) {
        const auto& tried = request.m_tried_peers;
        const size_t region = RegionOf(member.m_failure_domain);
        return region < m_regions.size() &&
               ((request.m_allowed_regions >> region) & 1U) != 0 &&
               std::find(tried.begin(), tried.end(), member.m_vm) ==
                   tried.end();
      },
      now);
  if (peer == nullptr) {
    return false;
  }
  const AttemptId attempt(m_next_attempt++);
  const uint32_t max_sends =
      request.m_route->m_max_sends > request.m_started_sends
          ? request.m_route->m_max_sends - request.m_started_sends
          : 1;
  m_peers.CountSend(peer->m_vm, now);
  request.m_peer_attempt = PeerAttempt{attempt, peer->m_vm};
  request.m_tried_peers.push_back(peer->m_vm);
  request.m_retry_charge.reset();
  ++request.m_started_sends;
  m_sink(SendToPeer{.m_request = request.m_facts.m_request,
                    .m_attempt = attempt,
                    .m_vm = peer->m_vm,
                    .m_client_address = peer->m_client_address,
                    .m_time_left = request.m_deadline - now,
                    .m_terms = {.m_table_version = request.m_table->m_version,
                                .m_is_data_stale = m_picker.IsDataStale(),
                                .m_max_sends = max_sends},
                    .m_waited = now - request.m_arrived});
  return true;
}

void Steering::PassOnWaiting(TimePoint now) {
  for (auto& [name, service] : m_services) {
    std::list<RequestId> waiting;
    waiting.swap(service->Waiting());
    for (const RequestId id : waiting) {
      SteeredRequest& request = m_requests.at(id);
      Dequeue(request);
      Dispatch(request, now);
    }
  }
}

void Steering::PeerEnded(RequestId id,
                         AttemptId attempt,
                         const PeerReport& report,
                         TimePoint now) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end()) {
    return;
  }
  SteeredRequest& request = it->second;
  if (!request.m_peer_attempt || request.m_peer_attempt->m_attempt != attempt) {
    return;
  }
  const bool is_unavailable =
      report.m_end == PeerEnd::kNotSent ||
      (report.m_refusal && CanAnotherVmServe(*report.m_refusal));
  m_peers.CountEnd(request.m_peer_attempt->m_vm,
                   !is_unavailable && report.m_end != PeerEnd::kLost, now);
  request.m_peer_attempt.reset();
  if (report.m_refusal == SteerRefusal::kRetriesSpent) {
    // Servers rejected the request there, so another send is a retry.
    RetryOrFail(request, attempt, AttemptEnd::kRejected, now);
    return;
  }
  if (is_unavailable) {
    --request.m_started_sends;
    RetryOrFail(request, attempt, AttemptEnd::kNotSent, now);
    return;
  }
  if (report.m_end == PeerEnd::kLost) {
    request.m_may_have_run = true;
    RetryOrFail(request, attempt, AttemptEnd::kLost, now);
    return;
  }
  const bool is_not_run =
      report.m_refusal &&
      DescribeSteerRefusal(*report.m_refusal).m_verdict == Verdict::kNotRun;
  if (report.m_refusal && !request.m_live_attempts.empty()) {
    request.m_may_have_run |= !is_not_run;
    return;
  }
  if (is_not_run && request.m_may_have_run) {
    Refuse(request, SteerRefusal::kLost, now);
    return;
  }
  if (is_not_run) {
    ReturnToken(request, now);
  }
  CancelLiveAttempts(request, false, now);
  m_sink(ForwardServerAnswer{id, attempt});
  RemoveRequest(id);
}

void Steering::CancelPeerAttempt(SteeredRequest& request, TimePoint now) {
  if (!request.m_peer_attempt) {
    return;
  }
  m_peers.CountEnd(request.m_peer_attempt->m_vm, true, now);
  m_sink(
      CancelSend{request.m_facts.m_request, request.m_peer_attempt->m_attempt});
  request.m_peer_attempt.reset();
}

}  // namespace sorrelplank
