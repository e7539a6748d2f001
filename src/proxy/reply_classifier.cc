/// @file reply_classifier.cc Classification of server replies.

#include <charconv>
#include <vector>

#include "proxy/proxy_header_names_type.h"
#include "proxy/reply_classifier_func.h"
#include "proxy/server_notice_func.h"
#include "proxy/server_reply_type.h"

namespace sorrelplank {

namespace {

constexpr int kHttpMisdirectedRequest = 421;
constexpr int kHttpGatewayTimeout = 504;
/// Running, waiting and slots; servers may report more.
constexpr size_t kMinLoadNumbers = 3;

AttemptEnd ClassifyResponse(const HttpResponse& answer,
                            const ProxyHeaderNames& names) {
  if (answer.m_status == kHttpMisdirectedRequest) {
    return AttemptEnd::kWrongInstance;
  }
  if (FindField(answer.m_headers, names.m_not_run) != nullptr) {
    return AttemptEnd::kRejected;
  }
  if (FindField(answer.m_headers, names.m_stamp) == nullptr &&
      answer.m_status < 300) {
    // A success without the server's stamp may come from an intermediary and
    // does not prove that the server ran the request.
    return AttemptEnd::kLost;
  }
  if (answer.m_status == kHttpGatewayTimeout) {
    return AttemptEnd::kDeadlineExceeded;
  }
  return answer.m_status >= 500 ? AttemptEnd::kServerError
                                : AttemptEnd::kAnswered;
}

}  // namespace

AttemptReport ClassifyReply(const ServerReply& reply,
                            const ProxyHeaderNames& names) {
  AttemptReport report;
  report.m_latency = reply.m_latency;
  report.m_is_new_connection = !reply.m_is_reused_connection;
  switch (reply.m_end) {
    case ReplyEnd::kNotSent:
      report.m_end = AttemptEnd::kNotSent;
      return report;
    case ReplyEnd::kLost:
    case ReplyEnd::kOversized:
      report.m_end = AttemptEnd::kLost;
      return report;
    case ReplyEnd::kComplete:
      break;
  }
  report.m_end = ClassifyResponse(reply.m_response, names);
  const std::string* load = FindField(reply.m_response.m_headers, names.m_load);
  if (load != nullptr) {
    report.m_load = ParseLoad(*load);
  }
  if (report.m_end != AttemptEnd::kWrongInstance) {
    report.m_notice = ParseServerNotice(reply.m_response, names);
  }
  return report;
}

const char* SendEndName(ReplyEnd reply_end, AttemptEnd end) {
  return reply_end == ReplyEnd::kOversized ? "oversized" : AttemptEndName(end);
}

std::optional<ReportedLoad> ParseLoad(const std::string& text) {
  std::vector<uint32_t> numbers;
  const char* at = text.data();
  const char* const end = at + text.size();
  while (true) {
    uint32_t number = 0;
    const auto [next, error] = std::from_chars(at, end, number);
    if (error != std::errc()) {
      return std::nullopt;
    }
    numbers.push_back(number);
    if (next == end) {
      break;
    }
    if (*next != ',') {
      return std::nullopt;
    }
    at = next + 1;
  }
  if (numbers.size() < kMinLoadNumbers) {
    return std::nullopt;
  }
  ReportedLoad load{
      .m_running = numbers[0], .m_waiting = numbers[1], .m_slots = numbers[2]};
  if (numbers.size() > kMinLoadNumbers) {
    load.m_work_percent = numbers[3];
  }
  return load;
}

}  // namespace sorrelplank
