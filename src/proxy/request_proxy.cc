/// @file request_proxy.cc Accepting, forwarding and answering of requests.

#include "proxy/request_proxy.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

#include "config/field_check.h"
#include "proxy/caller_key_func.h"
#include "proxy/decision_log.h"
#include "proxy/forwarded_fields_func.h"
#include "proxy/peer_fields_func.h"
#include "proxy/proxy_metrics.h"
#include "proxy/reply_classifier_func.h"
#include "proxy/server_connection.h"
#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

/// A server's response is buffered completely before it is forwarded, so that a
/// truncated one never looks complete to the client.
constexpr size_t kMaxResponseBytes = 16U << 20U;
/// Used if a client states no valid deadline; routes have their own timeouts.
constexpr Duration kDefaultDeadline = seconds(60);
/// Marks the number of a connection of another entry VM: the servers for
/// clients and for entry VMs both count from one.
constexpr uint64_t kPeerConnection = uint64_t{1} << 63U;
/// A node of the map of fields, with two strings and what the heap adds.
constexpr size_t kFieldRecordBytes = 128;
/// How long a connection that probes the reach of a server must stay open. What
/// cuts a VM off may accept its connections first and reset them then.
constexpr Duration kReachProbeHold = milliseconds(50);

Duration ParseTimeLeft(const std::optional<std::string>& text) {
  double ms = 0;
  if (!text) {
    return kDefaultDeadline;
  }
  const auto [end, error] =
      std::from_chars(text->data(), text->data() + text->size(), ms);
  if (error != std::errc() || end != text->data() + text->size() || ms < 0 ||
      ms > ToMilliseconds(kDefaultDeadline)) {
    return kDefaultDeadline;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

size_t HeadBytes(const HttpRequest& request) {
  size_t bytes = request.m_target.size();
  for (const auto& [name, value] : request.m_headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

/// Memory that the parsed head takes: the path is kept three times and the
/// query twice, and each field is a node of a map.
size_t ParsedHeadBytes(const HttpRequest& request) {
  return HeadBytes(request) + 2 * request.m_path.size() +
         request.m_raw_query.size() +
         request.m_headers.size() * kFieldRecordBytes;
}

uint64_t HashOf(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

RequestProxy::RequestProxy(asio::io_context& io,
                           const SteeringSettings& settings,
                           ProxyHeaderNames names,
                           DecisionLog& log,
                           ProxyMetrics& metrics)
    : m_names(std::move(names)),
      m_log(log),
      m_metrics(metrics),
      m_pool(io, m_bodies),
      m_steering(settings,
                 [this](const SteerAction& action) { Dispatch(action); }) {}

void RequestProxy::RejectMalformed(const HttpReply& reply,
                                   int status,
                                   const char* problem) {
  m_log.Write("malformed_request",
              {{"status", int64_t{status}}, {"problem", problem}});
  m_metrics.CountResponse("malformed", Duration::zero());
  HttpResponse response;
  response.m_status = status;
  response.m_body = fmt::format(R"({{"error":"{}"}})", problem);
  response.m_close = true;
  reply(std::move(response));
}

std::optional<HttpResponse> RequestProxy::AdmitBody(HttpRequest& head,
                                                    size_t body_bytes) {
  const RoutingTable* table = m_steering.Table();
  std::optional<HttpResponse> refusal;
  if (table != nullptr && body_bytes > table->m_limits.m_body_bytes) {
    RejectMalformed(
        [&refusal](HttpResponse response) { refusal = std::move(response); },
        413, "body too large");
  } else if (!ReserveBody(head, body_bytes)) {
    refusal = RefuseBody(head, body_bytes, false);
  }
  return refusal;
}

std::optional<HttpResponse> RequestProxy::AdmitPassedOnBody(HttpRequest& head,
                                                            size_t body_bytes) {
  if (ReserveBody(head, body_bytes)) {
    return std::nullopt;
  }
  return RefuseBody(head, body_bytes, true);
}

bool RequestProxy::ReserveBody(HttpRequest& head, size_t body_bytes) {
  if (!head.m_held) {
    head.m_held = std::make_shared<BodyReservation>(m_bodies.ForRequest());
  }
  const RequestSize size{.m_head_bytes = ParsedHeadBytes(head),
                         .m_body_bytes = body_bytes};
  while (!m_bodies.GrowTo(*head.m_held, size, m_open_requests.size())) {
    if (!m_bodies.FitsAlone(size) || !m_relieve_memory()) {
      return false;
    }
  }
  return true;
}

HttpResponse RequestProxy::RefuseBody(const HttpRequest& head,
                                      size_t body_bytes,
                                      bool is_passed_on) {
  HttpResponse refusal;
  OpenRequest open;
  open.m_id = head.Header(m_names.m_request_id).value_or("");
  open.m_is_passed_on = is_passed_on;
  open.m_body_bytes = body_bytes;
  open.m_arrived = SteadyNow();
  open.m_reply = [&refusal](HttpResponse response) {
    refusal = std::move(response);
  };
  const RequestId request(m_next_request++);
  m_open_requests.emplace(request, std::move(open));
  RefuseForMemory(request);
  return refusal;
}

void RequestProxy::RefuseForMemory(RequestId request) {
  const RoutingTable* table = m_steering.Table();
  RefuseRequest refusal;
  refusal.m_request = request;
  refusal.m_reason = SteerRefusal::kNoMemory;
  refusal.m_retry_after =
      BodyBudget::RetryAfter(HashOf(m_open_requests.at(request).m_id));
  refusal.m_table_version = table == nullptr ? 0 : table->m_version;
  Handle(refusal);
}

void RequestProxy::Accept(HttpRequest request, HttpReply reply) {
  const auto id = request.Header(m_names.m_request_id);
  const auto host = request.Header("host");
  if (!id || id->empty() || !host) {
    RejectMalformed(reply, 400, "request id and host are required");
    return;
  }
  const RoutingTable* table = m_steering.Table();
  // Without a table the limits are unknown; steering then refuses the request
  // as not run.
  if (table != nullptr && HeadBytes(request) > table->m_limits.m_header_bytes) {
    RejectMalformed(reply, 431, "head too large");
    return;
  }
  if (table != nullptr &&
      request.m_body.size() > table->m_limits.m_body_bytes) {
    RejectMalformed(reply, 413, "body too large");
    return;
  }
  Begin(std::move(request), std::move(reply), std::nullopt);
}

void RequestProxy::AcceptPassedOn(HttpRequest request, HttpReply reply) {
  if (!request.Header(m_names.m_request_id) || !request.Header("host")) {
    RejectMalformed(reply, 400, "request id and host are required");
    return;
  }
  request.m_connection |= kPeerConnection;
  const PassedOnTerms terms = ParsePassedOnTerms(request);
  Begin(std::move(request), std::move(reply), terms);
}

void RequestProxy::PeerClosed(uint64_t connection) {
  ClientClosed(connection | kPeerConnection);
}

void RequestProxy::Begin(HttpRequest request,
                         HttpReply reply,
                         std::optional<PassedOnTerms> passed_on) {
  const std::string id = *request.Header(m_names.m_request_id);
  RequestFacts facts;
  facts.m_request = RequestId(m_next_request++);
  facts.m_host = *request.Header("host");
  facts.m_path = request.m_path;
  facts.m_time_left = ParseTimeLeft(request.Header(m_names.m_deadline_ms));
  facts.m_object = HashOf(request.Header(m_names.m_object).value_or(id));
  facts.m_passed_on = passed_on;
  if (const auto credentials = request.Header(m_names.m_credentials)) {
    facts.m_key = ParseBearerKey(*credentials);
  }
  facts.m_digest =
      ComputeRequestDigest(request, m_names, IdentifyCaller(facts));
  m_requests_by_connection.emplace(request.m_connection, facts.m_request);
  OpenRequest open;
  const bool is_held = ReserveBody(request, request.m_body.size());
  if (is_held) {
    open.m_held = std::move(*request.m_held);
  }
  request.m_held.reset();
  open.m_id = id;
  open.m_body_bytes = request.m_body.size();
  open.m_body = std::make_shared<const std::string>(
      std::exchange(request.m_body, std::string()));
  open.m_is_passed_on = passed_on.has_value();
  open.m_digest = facts.m_digest;
  open.m_request = std::move(request);
  open.m_reply = std::move(reply);
  open.m_arrived = SteadyNow();
  const TimePoint now = open.m_arrived;
  m_open_requests.emplace(facts.m_request, std::move(open));
  if (!is_held) {
    RefuseForMemory(facts.m_request);
    return;
  }
  m_steering.Arrived(std::move(facts), now);
}

CallerIdentity RequestProxy::IdentifyCaller(const RequestFacts& facts) const {
  const RoutingTable* table = m_steering.Table();
  // As long as no table is known, the digest must not contain the key, since
  // digests are written to logs and to the store.
  CallerIdentity caller;
  caller.m_excludes_credentials =
      table == nullptr || table->m_organisations.has_value();
  caller.m_organisation =
      NameOf(m_steering.OrganisationOf(facts.m_key.value_or("")));
  return caller;
}

void RequestProxy::ClientClosed(uint64_t connection) {
  const auto [first, last] = m_requests_by_connection.equal_range(connection);
  std::vector<RequestId> given_up;
  for (auto it = first; it != last; ++it) {
    given_up.push_back(it->second);
  }
  m_requests_by_connection.erase(first, last);
  for (const RequestId id : given_up) {
    const auto it = m_open_requests.find(id);
    if (it == m_open_requests.end()) {
      continue;
    }
    const TimePoint now = SteadyNow();
    m_log.Write("client_left",
                {{"request", it->second.m_id},
                 {"after_ms", LogMs(now - it->second.m_arrived)}});
    m_metrics.CountResponse("client_left", now - it->second.m_arrived);
    if (it->second.m_is_returning) {
      m_metrics.CountReturning("client_left");
    }
    m_steering.ClientLeft(id, now);
    m_open_requests.erase(id);
  }
}

void RequestProxy::Tick() {
  const TimePoint now = SteadyNow();
  m_steering.Tick(now);
  m_pool.CloseExpired(now);
}

void RequestProxy::Dispatch(const SteerAction& action) {
  std::visit([this](const auto& specific) { Handle(specific); }, action);
}

std::string RequestProxy::SerializeRequest(const OpenRequest& open,
                                           const SendToServer& action) const {
  const HttpRequest& request = open.m_request;
  std::string bytes =
      fmt::format("{} {} HTTP/1.1\r\n", request.m_method, request.m_target);
  for (const auto& [name, value] : request.m_headers) {
    const bool is_hidden =
        action.m_strips_key && IsCallerIdentityField(name, m_names);
    if (IsForwardedField(name, m_names) && !IsPeerField(name) && !is_hidden) {
      bytes += fmt::format("{}: {}\r\n", name, value);
    }
  }
  if (!action.m_organisation.empty()) {
    bytes += fmt::format("{}: {}\r\n", m_names.m_organisation,
                         action.m_organisation);
  }
  bytes += fmt::format("{}: {}\r\n{}: {}\r\n", m_names.m_deadline_ms,
                       std::max<int64_t>(1, LogMs(action.m_time_left)),
                       m_names.m_expected_instance, action.m_instance);
  const bool may_have_body =
      request.m_method != "GET" && request.m_method != "HEAD";
  if (may_have_body || !open.m_body->empty()) {
    bytes += fmt::format("content-length: {}\r\n", open.m_body->size());
  }
  bytes += "\r\n";
  return bytes;
}

std::string RequestProxy::SerializeForPeer(const OpenRequest& open,
                                           const SendToPeer& action) const {
  const HttpRequest& request = open.m_request;
  std::string bytes =
      fmt::format("{} {} HTTP/1.1\r\n", request.m_method, request.m_target);
  for (const auto& [name, value] : request.m_headers) {
    if (IsForwardedField(name, m_names) && !IsPeerField(name)) {
      bytes += fmt::format("{}: {}\r\n", name, value);
    }
  }
  bytes += FormatPassedOnTerms(action.m_terms);
  bytes += fmt::format(
      "{}: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
      m_names.m_deadline_ms, std::max<int64_t>(1, LogMs(action.m_time_left)),
      open.m_body->size());
  return bytes;
}

void RequestProxy::Handle(const SendToPeer& action) {
  OpenRequest& open = m_open_requests.at(action.m_request);
  m_log.Write(
      "send_to_vm",
      {{"request", open.m_id},
       {"attempt", static_cast<int64_t>(action.m_attempt.Get())},
       {"to", action.m_vm},
       {"waited_ms", LogMs(action.m_waited)},
       {"time_left_ms", LogMs(action.m_time_left)},
       {"config", static_cast<int64_t>(action.m_terms.m_table_version)}});
  ServerRequest send;
  send.m_bytes = SerializeForPeer(open, action);
  send.m_body = open.m_body;
  send.m_request_id = open.m_id;
  send.m_request_id_name = m_names.m_request_id;
  send.m_is_head = open.m_request.m_method == "HEAD";
  send.m_max_response_bytes = kMaxResponseBytes;
  send.m_held = m_bodies.ForResponse();
  // An address that does not parse is not connected to, so that the send ends
  // as not sent.
  VmAddress address;
  ParseAddress(action.m_client_address, address.m_ip, address.m_port);
  address.m_port = m_peer_port;
  m_pool.Send(action.m_attempt,
              {.m_instance = "vm " + action.m_vm, .m_address = address},
              std::move(send),
              [this, request = action.m_request,
               attempt = action.m_attempt](ServerReply reply) {
                OnPeerSendEnded(request, attempt, std::move(reply));
              });
}

void RequestProxy::OnPeerSendEnded(RequestId request,
                                   AttemptId attempt,
                                   ServerReply reply) {
  const PeerReport report = ClassifyPeerReply(reply);
  const char* const outcome = PeerSendEndName(reply, report);
  m_metrics.CountPeerSend(outcome);
  const auto it = m_open_requests.find(request);
  if (it == m_open_requests.end()) {
    return;
  }
  m_log.Write("send_to_vm_ended",
              {{"request", it->second.m_id},
               {"attempt", static_cast<int64_t>(attempt.Get())},
               {"end", outcome},
               {"status", int64_t{reply.m_response.m_status}},
               {"problem", reply.m_problem},
               {"latency_ms", LogMs(reply.m_latency)}});
  it->second.m_server_response = std::move(reply.m_response);
  it->second.m_response_held = std::move(reply.m_held);
  m_steering.PeerEnded(request, attempt, report, SteadyNow());
}

void RequestProxy::Handle(const SendToServer& action) {
  OpenRequest& open = m_open_requests.at(action.m_request);
  open.m_is_returning = action.m_is_returning;
  m_log.Write("send",
              {{"request", open.m_id},
               {"attempt", static_cast<int64_t>(action.m_attempt.Get())},
               {"content", FormatDigest(open.m_digest)},
               {"server", action.m_instance},
               {"region", action.m_region},
               {"organisation", action.m_organisation},
               {"object", open.m_request.Header(m_names.m_object).value_or("")},
               {"under_way_there", action.m_occupancy},
               {"waited_ms", LogMs(action.m_waited)},
               {"passed_over", int64_t{action.m_passed_over}},
               {"hedge", int64_t{action.m_is_hedge ? 1 : 0}},
               {"time_left_ms", LogMs(action.m_time_left)},
               {"returning", int64_t{action.m_is_returning ? 1 : 0}},
               {"passed_on", int64_t{open.m_is_passed_on ? 1 : 0}},
               {"config", static_cast<int64_t>(action.m_table_version)}});
  if (action.m_retry_charge) {
    const RetryCharge& charge = *action.m_retry_charge;
    m_log.Write("retry_charged",
                {{"request", open.m_id},
                 {"attempt", static_cast<int64_t>(action.m_attempt.Get())},
                 {"requests", int64_t{charge.m_requests}},
                 {"retries", int64_t{charge.m_retries}},
                 {"paid_by_extra", charge.m_paid_by_extra},
                 {"extra", charge.m_extra}});
  }
  m_metrics.CountSend(action.m_service, action.m_region);
  if (action.m_is_second_choice) {
    m_metrics.CountSecondChoice(action.m_service);
  }
  if (action.m_is_hedge) {
    m_metrics.CountHedge("sent");
  }
  ServerRequest send;
  send.m_bytes = SerializeRequest(open, action);
  send.m_body = open.m_body;
  send.m_request_id = open.m_id;
  send.m_request_id_name = m_names.m_request_id;
  send.m_is_head = open.m_request.m_method == "HEAD";
  send.m_max_response_bytes = kMaxResponseBytes;
  send.m_held = m_bodies.ForResponse();
  const SendTarget target{.m_instance = action.m_instance,
                          .m_address = action.m_address,
                          .m_is_idempotent = action.m_idempotent,
                          .m_max_idle = action.m_max_idle_connections};
  m_pool.Send(action.m_attempt, target, std::move(send),
              [this, request = action.m_request,
               attempt = action.m_attempt](ServerReply reply) {
                OnSendEnded(request, attempt, std::move(reply));
              });
}

void RequestProxy::OnSendEnded(RequestId request,
                               AttemptId attempt,
                               ServerReply reply) {
  const AttemptReport report = ClassifyReply(reply, m_names);
  const char* const end = SendEndName(reply.m_end, report.m_end);
  m_metrics.CountAttempt(end, report.m_latency);
  const auto it = m_open_requests.find(request);
  if (it == m_open_requests.end()) {
    return;
  }
  m_log.Write("send_ended", {{"request", it->second.m_id},
                             {"attempt", static_cast<int64_t>(attempt.Get())},
                             {"end", end},
                             {"status", int64_t{reply.m_response.m_status}},
                             {"problem", reply.m_problem},
                             {"latency_ms", LogMs(report.m_latency)},
                             {"kept_connection",
                              int64_t{reply.m_is_reused_connection ? 1 : 0}}});
  for (const std::string& name :
       m_response_fields.RecordNewNames(reply.m_response.m_headers)) {
    m_log.Write("answer_field", {{"request", it->second.m_id}, {"name", name}});
  }
  it->second.m_server_response = std::move(reply.m_response);
  it->second.m_response_held = std::move(reply.m_held);
  m_steering.Ended(request, attempt, report, SteadyNow());
}

void RequestProxy::Handle(const CancelSend& action) {
  m_log.Write("send_cancelled",
              {{"request", m_open_requests.at(action.m_request).m_id},
               {"attempt", static_cast<int64_t>(action.m_attempt.Get())}});
  m_pool.Cancel(action.m_attempt);
}

void RequestProxy::Handle(const ForwardServerAnswer& action) {
  if (action.m_is_hedge) {
    m_metrics.CountHedge("answered_first");
  }
  OpenRequest& open = m_open_requests.at(action.m_request);
  HttpResponse answer = std::move(open.m_server_response);
  m_bodies.AddResponse(answer.m_body.size());
  answer.m_until_written =
      std::make_shared<BodyReservation>(std::move(open.m_response_held));
  std::erase_if(answer.m_headers, [this](const auto& field) {
    return IsHopByHopField(field.first) || field.first == m_names.m_load ||
           field.first == m_names.m_instance ||
           field.first == m_names.m_not_run || IsPeerField(field.first);
  });
  Respond(action.m_request, std::move(answer), "forwarded");
}

void RequestProxy::Handle(const RefuseRequest& action) {
  const SteerRefusalRow& row = DescribeSteerRefusal(action.m_reason);
  const std::string retry_after =
      fmt::format("{:.3f}", ToMilliseconds(action.m_retry_after) / 1000);
  OpenRequest& open = m_open_requests.at(action.m_request);
  open.m_is_returning = action.m_is_returning;
  m_log.Write("refuse",
              {{"request", open.m_id},
               {"reason", row.m_name},
               {"content", FormatDigest(open.m_digest)},
               {"organisation", action.m_organisation},
               {"ends", static_cast<int64_t>(action.m_crashes)},
               {"verdict", VerdictName(row.m_verdict)},
               {"waited_ms", LogMs(action.m_waited)},
               {"sends", int64_t{action.m_sends}},
               {"passed_over", int64_t{action.m_passed_over}},
               {"line", static_cast<int64_t>(action.m_queue.m_ahead)},
               {"ends_per_second", action.m_queue.m_completions_per_second},
               {"usual_ms", LogMs(action.m_queue.m_usual_latency)},
               {"forecast_ms", LogMs(action.m_time_to_answer)},
               {"time_left_ms", LogMs(action.m_time_left)},
               {"retry_after_s", retry_after},
               {"returning", int64_t{action.m_is_returning ? 1 : 0}},
               {"body_bytes", static_cast<int64_t>(open.m_body_bytes)},
               {"held_bytes", static_cast<int64_t>(m_bodies.Held())},
               {"config", static_cast<int64_t>(action.m_table_version)}});
  HttpResponse response;
  response.m_status = row.m_status;
  response.m_headers.emplace_back(m_names.m_request_id, open.m_id);
  if (open.m_is_passed_on) {
    response.m_headers.emplace_back(kPeerRefusalField, row.m_name);
  }
  if (row.m_status == 401) {
    response.m_headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  if (row.m_status == 503 || row.m_status == 429) {
    response.m_headers.emplace_back("Retry-After", retry_after);
  }
  // Close the connection, so that the client sends its next request to another
  // VM.
  response.m_close = action.m_reason == SteerRefusal::kNotReady;
  response.m_body = fmt::format(R"({{"error":"{}"}})", row.m_name);
  Respond(action.m_request, std::move(response), row.m_name);
}

void RequestProxy::Handle(const StateChanged& action) {
  m_log.Write(action.m_event,
              {{"subject", action.m_subject}, {"value", action.m_value}});
}

void RequestProxy::Handle(const RegionSplitChanged& action) {
  m_log.Write("own_region_share",
              {{"service", action.m_service},
               {"share", action.m_own_share},
               {"own_load", action.m_own_load},
               {"least_load_elsewhere", action.m_least_load_elsewhere}});
}

void RequestProxy::Handle(const ServerRestarted& action) {
  m_log.Write("server_restarted", {{"server", action.m_instance}});
  m_pool.CloseIdle(action.m_instance);
}

void RequestProxy::Handle(const CheckServerReachable& action) {
  m_pool.ProbeServer(
      action.m_address, Duration::zero(),
      [this, instance = action.m_instance](ServerReach reach) {
        m_log.Write("server_checked",
                    {{"server", instance}, {"reach", ServerReachName(reach)}});
        m_steering.ServerChecked(instance, reach, SteadyNow());
      });
}

void RequestProxy::Handle(const ProbeServerReach& action) {
  m_pool.ProbeServer(
      action.m_address, kReachProbeHold,
      [this, instance = action.m_instance](ServerReach reach) {
        m_log.Write("server_probed",
                    {{"server", instance}, {"reach", ServerReachName(reach)}});
        m_steering.ReachProbed(reach == ServerReach::kAcceptsConnections,
                               SteadyNow());
      });
}

void RequestProxy::Handle(const SendQuotaRequest& action) {
  m_send_quota_request(action.m_request);
}

void RequestProxy::Handle(const RequestSuspected& action) {
  const CrashReport& report = action.m_report;
  m_log.Write("request_suspected",
              {{"content", FormatDigest(report.m_record.m_digest)},
               {"server", report.m_record.m_run},
               {"service", report.m_service},
               {"host", report.m_host},
               {"path", report.m_path},
               {"under_way_ms", LogMs(report.m_sighting.m_under_way)},
               {"ends", static_cast<int64_t>(action.m_crashes)}});
  m_on_crash_update(report);
}

void RequestProxy::Handle(const RequestHeld& action) {
  m_log.Write("request_held",
              {{"content", FormatDigest(action.m_digest)},
               {"ends", static_cast<int64_t>(action.m_crashes)}});
}

void RequestProxy::Handle(const HoldEnded& action) {
  m_log.Write("request_released", {{"content", FormatDigest(action.m_digest)}});
}

void RequestProxy::Handle(const CrashRefuted& action) {
  m_log.Write("crash_refuted",
              {{"content", FormatDigest(action.m_record.m_digest)},
               {"server", action.m_record.m_run}});
}

void RequestProxy::Handle(const TrialBegun& action) {
  m_log.Write("trial_begun",
              {{"request", m_open_requests.at(action.m_request).m_id},
               {"content", FormatDigest(action.m_digest)}});
}

void RequestProxy::Handle(const CrashesDropped& action) {
  for (const CrashRecord& record : action.m_records) {
    m_log.Write("suspicion_ended", {{"content", FormatDigest(record.m_digest)},
                                    {"server", record.m_run},
                                    {"reason", action.m_reason}});
  }
  m_on_crash_update(action);
}

void RequestProxy::Respond(RequestId request,
                           HttpResponse response,
                           const char* outcome) {
  const auto it = m_open_requests.find(request);
  const OpenRequest open = std::move(it->second);
  m_open_requests.erase(it);
  const auto [first, last] =
      m_requests_by_connection.equal_range(open.m_request.m_connection);
  const auto entry = std::find_if(
      first, last, [&](const auto& pair) { return pair.second == request; });
  if (entry != last) {
    m_requests_by_connection.erase(entry);
  }
  const Duration time = SteadyNow() - open.m_arrived;
  m_metrics.CountResponse(outcome, time);
  if (open.m_is_returning) {
    m_metrics.CountReturning(outcome);
  }
  m_log.Write("answer", {{"request", open.m_id},
                         {"outcome", outcome},
                         {"status", int64_t{response.m_status}},
                         {"after_ms", LogMs(time)}});
  response.m_close |= m_is_stopping;
  open.m_reply(std::move(response));
}

}  // namespace sorrelplank
