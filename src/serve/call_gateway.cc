/// @file call_gateway.cc Accepts requests, dispatches them and responds.

#include "serve/call_gateway.h"

#include <algorithm>
#include <utility>

#include "core/timing_type.h"
#include "net/http_client.h"
#include "net/peer_convert_func.h"
#include "proto/peer.pb.h"
#include "serve/call_headers_type.h"
#include "serve/call_parse_func.h"
#include "serve/classify_attempt_func.h"
#include "serve/clock_func.h"
#include "serve/error_response_func.h"
#include "serve/metrics_export.h"

namespace sorrelplank {

namespace {

/// Added to transport timeouts, so that the core's own deadline for the
/// request always expires first.
constexpr Duration kTimeoutSlack = milliseconds(200);
constexpr Duration kBackendConnectTimeout = milliseconds(300);
constexpr Duration kSeenTimeout = milliseconds(300);

int64_t InMs(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

CallGateway::CallGateway(NodeDriver& driver,
                         HttpClient& http,
                         PeerClient& peers,
                         MetricsExport& metrics,
                         size_t max_stored_bytes)
    : m_driver(driver),
      m_http(http),
      m_peers(peers),
      m_metrics(metrics),
      m_stored_responses(max_stored_bytes),
      m_is_cut_off([](uint32_t) { return false; }) {
  m_driver.AddSink([this](const Action& action) { HandleAction(action); });
}

void CallGateway::AcceptCall(HttpRequest request, HttpReply reply) {
  auto result = ParseCall(request);
  if (const auto* malformed = std::get_if<MalformedCall>(&result)) {
    m_metrics.CountMalformed("caller");
    HttpResponse refusal =
        MakeError(400, "malformed_request", malformed->m_problem);
    refusal.m_headers.emplace_back(kVerdictHeader,
                                   VerdictName(Verdict::kNotRun));
    reply(std::move(refusal));
    return;
  }
  auto& parsed = std::get<ParsedCall>(result);
  const RequestId id(m_next_request++);
  parsed.m_call.m_request = id;
  PendingCall pending;
  pending.m_origin = FromCaller{std::move(reply), request.m_connection};
  pending.m_method = std::move(request.m_method);
  pending.m_path = std::move(parsed.m_backend_path);
  pending.m_content_type = request.Header("content-type").value_or("");
  pending.m_body = std::move(request.m_body);
  pending.m_key = std::move(parsed.m_key);
  pending.m_request_id = FormatRequestId(m_driver.Core().Identity(), id);
  pending.m_service_name = std::move(parsed.m_service_name);
  pending.m_service = parsed.m_call.m_service;
  pending.m_stores_response = parsed.m_call.m_key != KeyHash();
  pending.m_arrived = SteadyNow();
  m_by_connection.emplace(request.m_connection, id);
  m_pending.emplace(id, std::move(pending));
  m_driver.Feed(CallArrived{std::move(parsed.m_call)});
}

void CallGateway::CallerClosed(uint64_t connection) {
  while (true) {
    const auto it = m_by_connection.find(connection);
    if (it == m_by_connection.end()) {
      return;
    }
    const RequestId id = it->second;
    m_by_connection.erase(it);
    m_driver.Feed(CallerLeft{id});
  }
}

void CallGateway::AcceptHandOn(uint64_t call,
                               const proto::HandOnRequest& request,
                               PeerHandlers::Done<proto::HandOnReply> done) {
  if (request.protocol() != kPeerProtocol) {
    m_metrics.CountMalformed("peer");
    proto::HandOnReply refusal;
    refusal.set_verdict(static_cast<uint32_t>(Verdict::kNotRun));
    refusal.set_request_id(request.request_id());
    refusal.set_reason("other_protocol_version");
    done(refusal);
    return;
  }
  m_driver.Clock().Observe(request.hlc());
  const RequestId id(m_next_request++);
  IncomingCall incoming;
  incoming.m_request = id;
  incoming.m_service = NameHash(request.service());
  incoming.m_caller_ip = request.caller() << 8U;
  incoming.m_home_place = NameHash(request.home_place());
  incoming.m_handed_on = true;
  incoming.m_from = request.from();
  incoming.m_time_left = milliseconds(request.deadline_ms());
  incoming.m_body_size = request.body().size();
  PendingCall pending;
  pending.m_origin = FromPeer{std::move(done), call, request.request_id()};
  pending.m_method = request.method();
  pending.m_path = request.path();
  pending.m_body = request.body();
  pending.m_content_type = request.content_type();
  pending.m_key = request.key();
  pending.m_request_id = request.request_id();
  pending.m_service = incoming.m_service;
  pending.m_arrived = SteadyNow();
  m_by_peer_call[call] = id;
  m_pending.emplace(id, std::move(pending));
  m_driver.Feed(CallArrived{std::move(incoming)});
}

void CallGateway::HandOnCancelled(uint64_t call) {
  const auto it = m_by_peer_call.find(call);
  if (it != m_by_peer_call.end()) {
    m_driver.Feed(CallerLeft{it->second});
  }
}

proto::SeenReply CallGateway::AnswerSeen(const proto::SeenRequest& request) {
  m_driver.Clock().Observe(request.hlc());
  proto::SeenReply reply;
  reply.set_hlc(m_driver.NextStamp());
  const Node& node = m_driver.Core();
  const bool is_ours =
      request.protocol() == kPeerProtocol &&
      Incarnation(request.incarnation()) == node.Identity().m_incarnation;
  if (!is_ours) {
    reply.set_answer(static_cast<uint32_t>(KeyState::kUnknown));
    return reply;
  }
  const KeyRecord record = m_driver.Core().AnswerKeyQuery(
      KeyHash(request.key()), request.send(), SteadyNow());
  reply.set_answer(static_cast<uint32_t>(record.m_state));
  const HttpResponse* stored = m_stored_responses.Find(record.m_request);
  if (record.m_state == KeyState::kRan && stored != nullptr) {
    reply.set_status(static_cast<uint32_t>(stored->m_status));
    reply.set_content_type(stored->m_content_type);
    reply.set_body(stored->m_body);
  }
  return reply;
}

void CallGateway::HandleAction(const Action& action) {
  std::visit(
      [this](const auto& specific) {
        if constexpr (requires { this->Execute(specific); }) {
          Execute(specific);
        }
      },
      action);
}

void CallGateway::Execute(const DispatchToBackend& action) {
  PendingCall& pending = m_pending.at(action.m_request);
  const Snapshot& config = *m_driver.Core().Config();
  const auto id = config.FindBackend(action.m_backend);
  const BackendServer& backend = config.Get(*id);
  m_attempts[action.m_attempt] = action.m_request;
  if (m_is_cut_off(ParseIp(backend.m_ip))) {
    m_driver.Feed(
        AttemptEnded{action.m_attempt, AttemptOutcome::kConnectFailed, {}, {}});
    m_attempts.erase(action.m_attempt);
    return;
  }
  HttpFetch fetch;
  fetch.m_method = pending.m_method;
  fetch.m_url = "http://" + backend.m_ip + ":" +
                std::to_string(backend.m_port) + pending.m_path;
  fetch.m_headers = {
      {kRequestIdHeader, pending.m_request_id},
      {kDeadlineHeader, std::to_string(InMs(action.m_time_left))}};
  if (!pending.m_key.empty()) {
    fetch.m_headers.emplace_back(kKeyHeader, pending.m_key);
  }
  if (!pending.m_content_type.empty()) {
    fetch.m_headers.emplace_back("content-type", pending.m_content_type);
  }
  fetch.m_body = pending.m_body;
  fetch.m_timeout = action.m_time_left + kTimeoutSlack;
  fetch.m_connect_timeout = kBackendConnectTimeout;
  // libcurl by itself repeats a request if a reused connection turns out to be
  // dead, which could run a non-idempotent request twice.
  fetch.m_fresh_connection = !action.m_idempotent;
  pending.m_fetch = m_http.Start(
      std::move(fetch), [this, request = action.m_request,
                         attempt = action.m_attempt](HttpResult result) {
        BackendEnded(request, attempt, std::move(result));
      });
}

void CallGateway::Execute(const HandOnToVm& action) {
  PendingCall& pending = m_pending.at(action.m_request);
  m_attempts[action.m_attempt] = action.m_request;
  proto::HandOnRequest request;
  request.set_protocol(kPeerProtocol);
  request.set_service(pending.m_service.Get());
  request.set_home_place(action.m_home_place.Get());
  request.set_caller(action.m_caller.Get());
  request.set_deadline_ms(static_cast<uint32_t>(InMs(action.m_time_left)));
  request.set_key(pending.m_key);
  request.set_method(pending.m_method);
  request.set_path(pending.m_path);
  request.set_content_type(pending.m_content_type);
  request.set_body(pending.m_body);
  request.set_request_id(pending.m_request_id);
  request.set_from(m_driver.Core().Identity().m_name);
  request.set_hlc(m_driver.NextStamp());
  pending.m_hand_on = m_peers.HandOn(
      action.m_address, request, action.m_time_left + kTimeoutSlack,
      [this, id = action.m_request, attempt = action.m_attempt](
          PeerOutcome end, const proto::HandOnReply& reply) {
        HandOnEnded(id, attempt, end, reply);
      });
}

void CallGateway::Execute(const CancelAttempt& action) {
  const auto attempt = m_attempts.find(action.m_attempt);
  if (attempt == m_attempts.end()) {
    return;
  }
  const auto it = m_pending.find(attempt->second);
  m_attempts.erase(attempt);
  if (it == m_pending.end()) {
    return;
  }
  PendingCall& pending = it->second;
  if (pending.m_fetch != 0) {
    m_http.Cancel(std::exchange(pending.m_fetch, 0));
  }
  if (pending.m_hand_on != 0) {
    m_peers.Cancel(std::exchange(pending.m_hand_on, 0));
  }
}

void CallGateway::Execute(const ForwardAnswer& action) {
  PendingCall& pending = m_pending.at(action.m_request);
  if (pending.m_stores_response) {
    m_stored_responses.Store(action.m_request, pending.m_response);
  }
  Finish(action.m_request, pending.m_response, Verdict::kRan, "", {}, {});
}

void CallGateway::Execute(const ReplayAnswer& action) {
  const HttpResponse* stored = m_stored_responses.Find(action.m_original);
  if (stored == nullptr) {
    ReportResponseGone(action.m_request);
    return;
  }
  Finish(action.m_request, *stored, Verdict::kRan, "replayed", {}, {});
}

void CallGateway::Execute(const ReplayPeerAnswer& action) {
  PendingCall& pending = m_pending.at(action.m_request);
  if (!pending.m_peer_response) {
    ReportResponseGone(action.m_request);
    return;
  }
  Finish(action.m_request, std::move(*pending.m_peer_response), Verdict::kRan,
         "replayed", {}, {});
}

void CallGateway::Execute(const RefuseCall& action) {
  const RefusalRow& row = DescribeRefusal(action.m_reason);
  Finish(action.m_request, MakeError(row.m_http_status, row.m_name, row.m_help),
         action.m_verdict, row.m_name, action.m_retry_after, action.m_slots);
}

void CallGateway::Execute(const QueryKeyState& action) {
  proto::SeenRequest request;
  request.set_protocol(kPeerProtocol);
  request.set_key(action.m_key.Get());
  request.set_incarnation(action.m_incarnation.Get());
  request.set_send(action.m_send);
  request.set_hlc(m_driver.NextStamp());
  if (action.m_address.m_ip == 0) {
    m_driver.Feed(
        KeyStateReceived{action.m_request, action.m_vm, KeyState::kUnknown});
    return;
  }
  m_peers.Seen(action.m_address, request, kSeenTimeout,
               [this, id = action.m_request, vm = action.m_vm](
                   PeerOutcome end, const proto::SeenReply& reply) {
                 SeenEnded(id, vm, end, reply);
               });
}

void CallGateway::BackendEnded(RequestId request,
                               AttemptId attempt,
                               HttpResult result) {
  m_attempts.erase(attempt);
  const auto it = m_pending.find(request);
  if (it == m_pending.end()) {
    return;
  }
  PendingCall& pending = it->second;
  pending.m_fetch = 0;
  const AttemptOutcome outcome = ClassifyFetch(result, pending.m_request_id);
  if (outcome == AttemptOutcome::kAnswerMalformed) {
    m_metrics.CountMalformed("backend_server");
  }
  pending.m_response = std::move(result.m_response);
  m_driver.Feed(AttemptEnded{attempt, outcome, {}, {}});
}

void CallGateway::HandOnEnded(RequestId request,
                              AttemptId attempt,
                              PeerOutcome end,
                              const proto::HandOnReply& reply) {
  m_driver.Clock().Observe(reply.hlc());
  m_attempts.erase(attempt);
  const auto it = m_pending.find(request);
  if (it == m_pending.end()) {
    return;
  }
  PendingCall& pending = it->second;
  pending.m_hand_on = 0;
  AttemptEnded event;
  event.m_attempt = attempt;
  event.m_outcome = ClassifyHandOn(end, reply, pending.m_request_id);
  if (end == PeerOutcome::kAnswered && reply.has_slots()) {
    event.m_slots = FromProto(reply.slots());
    event.m_retry_after = milliseconds(reply.retry_after_ms());
  }
  pending.m_response = {};
  pending.m_response.m_status = static_cast<int>(reply.status());
  pending.m_response.m_content_type = reply.content_type();
  pending.m_response.m_body = reply.body();
  m_driver.Feed(event);
}

void CallGateway::SeenEnded(RequestId request,
                            const VmName& vm,
                            PeerOutcome end,
                            const proto::SeenReply& reply) {
  m_driver.Clock().Observe(reply.hlc());
  KeyState state = KeyState::kUnknown;
  const bool is_valid =
      end == PeerOutcome::kAnswered &&
      reply.answer() <= static_cast<uint32_t>(KeyState::kUnknown);
  if (is_valid) {
    state = static_cast<KeyState>(reply.answer());
  }
  const auto it = m_pending.find(request);
  if (it != m_pending.end() && state == KeyState::kRan && reply.status() != 0) {
    HttpResponse response;
    response.m_status = static_cast<int>(reply.status());
    response.m_content_type = reply.content_type();
    response.m_body = reply.body();
    it->second.m_peer_response = std::move(response);
  }
  m_driver.Feed(KeyStateReceived{request, vm, state});
}

void CallGateway::ReportResponseGone(RequestId request) {
  const RefusalRow& row = DescribeRefusal(RefusalReason::kRepeatAnswerGone);
  Finish(request, MakeError(row.m_http_status, row.m_name, row.m_help),
         Verdict::kRan, row.m_name, {}, {});
}

void CallGateway::Finish(RequestId request,
                         HttpResponse response,
                         Verdict verdict,
                         const char* reason,
                         Duration retry_after,
                         const ServiceSlots& slots) {
  const auto it = m_pending.find(request);
  if (it == m_pending.end()) {
    return;
  }
  const PendingCall pending = std::move(it->second);
  m_pending.erase(it);
  const FinalResponse final_response{std::move(response), verdict, reason,
                                     retry_after, slots};
  std::visit(
      [&](const auto& origin) {
        SendResponse(origin, request, pending, final_response);
      },
      pending.m_origin);
}

void CallGateway::SendResponse(const FromPeer& peer,
                               RequestId,
                               const PendingCall& pending,
                               const FinalResponse& final_response) {
  m_by_peer_call.erase(peer.m_call);
  proto::HandOnReply reply;
  reply.set_verdict(static_cast<uint32_t>(final_response.m_verdict));
  reply.set_status(static_cast<uint32_t>(final_response.m_response.m_status));
  reply.set_content_type(final_response.m_response.m_content_type);
  reply.set_body(final_response.m_response.m_body);
  reply.set_retry_after_ms(
      static_cast<uint32_t>(InMs(final_response.m_retry_after)));
  reply.set_request_id(peer.m_request_id);
  reply.set_reason(final_response.m_reason);
  reply.set_hlc(m_driver.NextStamp());
  ServiceSlots slots = final_response.m_slots;
  if (slots.m_service == NameHash()) {
    slots = m_driver.Core().SlotsOf(pending.m_service, SteadyNow());
  }
  ToProto(slots, *reply.mutable_slots());
  peer.m_done(reply);
}

void CallGateway::SendResponse(const FromCaller& caller,
                               RequestId request,
                               const PendingCall& pending,
                               const FinalResponse& final_response) {
  const auto [first, last] = m_by_connection.equal_range(caller.m_connection);
  const auto entry = std::find_if(
      first, last, [&](const auto& item) { return item.second == request; });
  if (entry != last) {
    m_by_connection.erase(entry);
  }
  const NodeIdentity& self = m_driver.Core().Identity();
  HttpResponse response;
  response.m_status = final_response.m_response.m_status;
  response.m_content_type = final_response.m_response.m_content_type;
  response.m_body = final_response.m_response.m_body;
  response.m_headers = {
      {kVerdictHeader, VerdictName(final_response.m_verdict)},
      {kRequestIdHeader, pending.m_request_id},
      {kVmHeader, FormatVmId(self.m_name, self.m_incarnation)}};
  if (*final_response.m_reason != '\0') {
    response.m_headers.emplace_back(kReasonHeader, final_response.m_reason);
  }
  if (final_response.m_retry_after > Duration::zero()) {
    const int64_t ms = InMs(final_response.m_retry_after);
    response.m_headers.emplace_back("Retry-After",
                                    std::to_string((ms + 999) / 1000));
    response.m_headers.emplace_back(kRetryAfterMsHeader, std::to_string(ms));
  }
  m_metrics.CountResponse(pending.m_service_name,
                          VerdictName(final_response.m_verdict),
                          SteadyNow() - pending.m_arrived);
  caller.m_reply(std::move(response));
}

}  // namespace sorrelplank
