/// @file front.cc Accepting, sending and answering.

#include "proxy/front.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "proxy/caller_key_func.h"
#include "proxy/decision_log.h"
#include "proxy/forwarded_fields_func.h"
#include "proxy/proxy_metrics.h"
#include "proxy/reply_judge_func.h"
#include "proxy/server_connection.h"
#include "serve/clock_func.h"

namespace sorrelplank {

namespace {

/// An answer of a backend server is held whole before it is passed on, so that
/// one that breaks off never looks complete.
constexpr size_t kMostAnswerBytes = 16U << 20U;
/// Taken where a client names no time; routes have times of their own.
constexpr Duration kUnstatedTime = seconds(60);

Duration ParseTimeLeft(const std::optional<std::string>& text) {
  double ms = 0;
  if (!text) {
    return kUnstatedTime;
  }
  const auto [end, error] =
      std::from_chars(text->data(), text->data() + text->size(), ms);
  if (error != std::errc() || end != text->data() + text->size() || ms < 0 ||
      ms > ToMilliseconds(kUnstatedTime)) {
    return kUnstatedTime;
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

uint64_t HashOf(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

Front::Front(asio::io_context& io,
             const SteeringSettings& settings,
             ProxyNames names,
             DecisionLog& log,
             ProxyMetrics& metrics)
    : m_names(std::move(names)),
      m_log(log),
      m_metrics(metrics),
      m_pool(io),
      m_steering(settings,
                 [this](const SteerAction& action) { Take(action); }) {}

void Front::AnswerMalformed(const HttpReply& reply,
                            int status,
                            const char* problem) {
  m_log.Write("malformed_request",
              {{"status", int64_t{status}}, {"problem", problem}});
  m_metrics.CountAnswer("malformed", Duration::zero());
  HttpResponse response;
  response.m_status = status;
  response.m_body = fmt::format(R"({{"error":"{}"}})", problem);
  response.m_close = true;
  reply(std::move(response));
}

void Front::Accept(HttpRequest request, HttpReply reply) {
  const auto id = request.Header(m_names.m_request_id);
  const auto host = request.Header("host");
  if (!id || id->empty() || !host) {
    AnswerMalformed(reply, 400, "request id and host are required");
    return;
  }
  const RoutingTable* table = m_steering.Table();
  // Without a table the limits are unknown, and the request is refused as not
  // run further on.
  if (table != nullptr && HeadBytes(request) > table->m_limits.m_header_bytes) {
    AnswerMalformed(reply, 431, "head too large");
    return;
  }
  if (table != nullptr &&
      request.m_body.size() > table->m_limits.m_body_bytes) {
    AnswerMalformed(reply, 413, "body too large");
    return;
  }
  RequestFacts facts;
  facts.m_request = RequestId(m_next_request++);
  facts.m_host = *host;
  facts.m_path = request.m_path;
  facts.m_time_left = ParseTimeLeft(request.Header(m_names.m_deadline_ms));
  facts.m_object = HashOf(request.Header(m_names.m_object).value_or(*id));
  if (const auto credentials = request.Header(m_names.m_credentials)) {
    facts.m_key = ParseBearerKey(*credentials);
  }
  facts.m_digest = DigestOf(request, m_names, CallerOf(facts));
  m_by_connection.emplace(request.m_connection, facts.m_request);
  Open open;
  open.m_id = *id;
  open.m_digest = facts.m_digest;
  open.m_request = std::move(request);
  open.m_reply = std::move(reply);
  open.m_arrived = SteadyNow();
  const TimePoint now = open.m_arrived;
  m_open.emplace(facts.m_request, std::move(open));
  m_steering.Arrived(std::move(facts), now);
}

CallerIdentity Front::CallerOf(const RequestFacts& facts) const {
  const RoutingTable* table = m_steering.Table();
  // While the table is not known, the key must not get into a digest: digests
  // are written to logs and to the store.
  CallerIdentity caller;
  caller.m_hides_key = table == nullptr || table->m_organisations.has_value();
  caller.m_organisation =
      NameOf(m_steering.OrganisationOf(facts.m_key.value_or("")));
  return caller;
}

void Front::ClientClosed(uint64_t connection) {
  const auto [first, last] = m_by_connection.equal_range(connection);
  std::vector<RequestId> left;
  for (auto it = first; it != last; ++it) {
    left.push_back(it->second);
  }
  m_by_connection.erase(first, last);
  for (const RequestId id : left) {
    const auto it = m_open.find(id);
    if (it == m_open.end()) {
      continue;
    }
    const TimePoint now = SteadyNow();
    m_log.Write("client_left",
                {{"request", it->second.m_id},
                 {"after_ms", LogMs(now - it->second.m_arrived)}});
    m_metrics.CountAnswer("client_left", now - it->second.m_arrived);
    m_steering.ClientLeft(id, now);
    m_open.erase(id);
  }
}

void Front::Tick() {
  const TimePoint now = SteadyNow();
  m_steering.Tick(now);
  m_pool.CloseExpired(now);
}

void Front::Take(const SteerAction& action) {
  std::visit([this](const auto& specific) { Run(specific); }, action);
}

std::string Front::BuildBytes(const Open& open,
                              const SendToServer& action) const {
  const HttpRequest& request = open.m_request;
  std::string bytes =
      fmt::format("{} {} HTTP/1.1\r\n", request.m_method, request.m_target);
  for (const auto& [name, value] : request.m_headers) {
    const bool is_hidden = action.m_keeps_key && IsAboutCaller(name, m_names);
    if (IsPassedOn(name, m_names) && !is_hidden) {
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
  if (may_have_body || !request.m_body.empty()) {
    bytes += fmt::format("content-length: {}\r\n", request.m_body.size());
  }
  bytes += "\r\n";
  bytes += request.m_body;
  return bytes;
}

void Front::Run(const SendToServer& action) {
  const Open& open = m_open.at(action.m_request);
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
               {"time_left_ms", LogMs(action.m_time_left)},
               {"config", static_cast<int64_t>(action.m_table_version)}});
  m_metrics.CountSend(action.m_service, action.m_region);
  ServerSend send;
  send.m_bytes = BuildBytes(open, action);
  send.m_request_id = open.m_id;
  send.m_request_id_name = m_names.m_request_id;
  send.m_is_head = open.m_request.m_method == "HEAD";
  send.m_most_answer_bytes = kMostAnswerBytes;
  const SendTarget target{.m_instance = action.m_instance,
                          .m_address = action.m_address,
                          .m_is_idempotent = action.m_idempotent,
                          .m_most_kept = action.m_most_kept};
  m_pool.Send(action.m_attempt, target, std::move(send),
              [this, request = action.m_request,
               attempt = action.m_attempt](ServerReply reply) {
                SendEnded(request, attempt, std::move(reply));
              });
}

void Front::SendEnded(RequestId request, AttemptId attempt, ServerReply reply) {
  const AttemptReport report = JudgeReply(reply, m_names);
  m_metrics.CountAttempt(AttemptEndName(report.m_end), report.m_latency);
  const auto it = m_open.find(request);
  if (it == m_open.end()) {
    return;
  }
  m_log.Write("send_ended",
              {{"request", it->second.m_id},
               {"attempt", static_cast<int64_t>(attempt.Get())},
               {"end", AttemptEndName(report.m_end)},
               {"status", int64_t{reply.m_response.m_status}},
               {"problem", reply.m_problem},
               {"latency_ms", LogMs(report.m_latency)},
               {"kept_connection", int64_t{reply.m_kept_connection ? 1 : 0}}});
  for (const std::string& name :
       m_answer_fields.TakeNew(reply.m_response.m_headers)) {
    m_log.Write("answer_field", {{"request", it->second.m_id}, {"name", name}});
  }
  it->second.m_server_answer = std::move(reply.m_response);
  m_steering.Ended(request, attempt, report, SteadyNow());
}

void Front::Run(const CancelSend& action) {
  m_log.Write("send_cancelled",
              {{"request", m_open.at(action.m_request).m_id},
               {"attempt", static_cast<int64_t>(action.m_attempt.Get())}});
  m_pool.Cancel(action.m_attempt);
}

void Front::Run(const ForwardServerAnswer& action) {
  HttpResponse answer = std::move(m_open.at(action.m_request).m_server_answer);
  std::erase_if(answer.m_headers, [this](const auto& field) {
    return IsConnectionField(field.first) || field.first == m_names.m_load ||
           field.first == m_names.m_instance ||
           field.first == m_names.m_not_run;
  });
  Answer(action.m_request, std::move(answer), "forwarded");
}

void Front::Run(const RefuseRequest& action) {
  const SteerRefusalRow& row = DescribeSteerRefusal(action.m_reason);
  const std::string retry_after =
      fmt::format("{:.3f}", ToMilliseconds(action.m_retry_after) / 1000);
  const Open& open = m_open.at(action.m_request);
  m_log.Write("refuse",
              {{"request", open.m_id},
               {"reason", row.m_name},
               {"content", FormatDigest(open.m_digest)},
               {"organisation", action.m_organisation},
               {"ends", static_cast<int64_t>(action.m_ends)},
               {"verdict", VerdictName(row.m_verdict)},
               {"waited_ms", LogMs(action.m_waited)},
               {"sends", int64_t{action.m_sends}},
               {"passed_over", int64_t{action.m_passed_over}},
               {"line", static_cast<int64_t>(action.m_line.m_ahead)},
               {"ends_per_second", action.m_line.m_ends_per_second},
               {"usual_ms", LogMs(action.m_line.m_usual_latency)},
               {"retry_after_s", retry_after},
               {"config", static_cast<int64_t>(action.m_table_version)}});
  HttpResponse response;
  response.m_status = row.m_status;
  response.m_headers.emplace_back(m_names.m_request_id, open.m_id);
  if (row.m_status == 401) {
    response.m_headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  if (row.m_status == 503 || row.m_status == 429) {
    response.m_headers.emplace_back("Retry-After", retry_after);
  }
  // The next request of this client is better sent to another VM.
  response.m_close = action.m_reason == SteerRefusal::kNotReady;
  response.m_body = fmt::format(R"({{"error":"{}"}})", row.m_name);
  Answer(action.m_request, std::move(response), row.m_name);
}

void Front::Run(const BeliefChanged& action) {
  m_log.Write(action.m_what,
              {{"subject", action.m_subject}, {"value", action.m_value}});
}

void Front::Run(const SplitMoved& action) {
  m_log.Write("own_region_share",
              {{"service", action.m_service},
               {"share", action.m_own_share},
               {"own_load", action.m_own_load},
               {"least_load_elsewhere", action.m_least_load_elsewhere}});
}

void Front::Run(const ServerRestarted& action) {
  m_log.Write("server_restarted", {{"server", action.m_instance}});
  m_pool.Drop(action.m_instance);
}

void Front::Run(const CheckServerReach& action) {
  m_pool.Check(action.m_address, [this, instance = action.m_instance](
                                     ServerReach reach) {
    m_log.Write("server_checked",
                {{"server", instance}, {"reach", ServerReachName(reach)}});
    m_steering.ServerChecked(instance, reach, SteadyNow());
  });
}

void Front::Run(const AskForTokens& action) {
  m_ask_for_tokens(action.m_question);
}

void Front::Run(const RequestSuspected& action) {
  const CrashReport& report = action.m_report;
  m_log.Write("request_suspected",
              {{"content", FormatDigest(report.m_record.m_digest)},
               {"server", report.m_record.m_run},
               {"service", report.m_service},
               {"host", report.m_host},
               {"path", report.m_path},
               {"ends", static_cast<int64_t>(action.m_ends)}});
  m_tell_crash(report);
}

void Front::Run(const RequestHeld& action) {
  m_log.Write("request_held", {{"content", FormatDigest(action.m_digest)},
                               {"ends", static_cast<int64_t>(action.m_ends)}});
}

void Front::Run(const HoldEnded& action) {
  m_log.Write("request_released", {{"content", FormatDigest(action.m_digest)}});
}

void Front::Run(const CrashesForgotten& action) {
  for (const CrashRecord& fact : action.m_facts) {
    m_log.Write("suspicion_ended", {{"content", FormatDigest(fact.m_digest)},
                                    {"server", fact.m_run},
                                    {"reason", action.m_reason}});
  }
  m_tell_crash(action);
}

void Front::Answer(RequestId request,
                   HttpResponse response,
                   const char* outcome) {
  const auto it = m_open.find(request);
  const Open open = std::move(it->second);
  m_open.erase(it);
  const auto [first, last] =
      m_by_connection.equal_range(open.m_request.m_connection);
  const auto entry = std::find_if(
      first, last, [&](const auto& pair) { return pair.second == request; });
  if (entry != last) {
    m_by_connection.erase(entry);
  }
  const Duration time = SteadyNow() - open.m_arrived;
  m_metrics.CountAnswer(outcome, time);
  m_log.Write("answer", {{"request", open.m_id},
                         {"outcome", outcome},
                         {"status", int64_t{response.m_status}},
                         {"after_ms", LogMs(time)}});
  response.m_close |= m_is_stopping;
  open.m_reply(std::move(response));
}

}  // namespace sorrelplank
