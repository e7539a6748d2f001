/// @file reply_judge.cc Only a server's own word proves "not run".

#include <charconv>
#include <vector>

#include "proxy/proxy_names_type.h"
#include "proxy/reply_judge_func.h"
#include "proxy/server_notice_func.h"
#include "proxy/server_reply_type.h"

namespace sorrelplank {

namespace {

constexpr int kMisdirected = 421;
constexpr int kDeadlinePassed = 504;
/// Running, waiting and slots; servers may tell more.
constexpr size_t kLeastLoadFigures = 3;

AttemptEnd JudgeAnswer(const HttpResponse& answer, const ProxyNames& names) {
  if (answer.m_status == kMisdirected) {
    return AttemptEnd::kWrongInstance;
  }
  if (FindField(answer.m_headers, names.m_not_run) != nullptr) {
    return AttemptEnd::kRejected;
  }
  if (FindField(answer.m_headers, names.m_stamp) == nullptr &&
      answer.m_status < 300) {
    // A success that no server vouches for is nobody's answer.
    return AttemptEnd::kLost;
  }
  if (answer.m_status == kDeadlinePassed) {
    return AttemptEnd::kDeadlineExceeded;
  }
  return answer.m_status >= 500 ? AttemptEnd::kServerError
                                : AttemptEnd::kAnswered;
}

}  // namespace

AttemptReport JudgeReply(const ServerReply& reply, const ProxyNames& names) {
  AttemptReport report;
  report.m_latency = reply.m_latency;
  switch (reply.m_end) {
    case ReplyEnd::kNotSent:
      report.m_end = AttemptEnd::kNotSent;
      return report;
    case ReplyEnd::kLost:
      report.m_end = AttemptEnd::kLost;
      return report;
    case ReplyEnd::kWhole:
      break;
  }
  report.m_end = JudgeAnswer(reply.m_response, names);
  const std::string* load = FindField(reply.m_response.m_headers, names.m_load);
  if (load != nullptr) {
    report.m_load = ParseLoad(*load);
  }
  if (report.m_end != AttemptEnd::kWrongInstance) {
    report.m_notice = ReadServerNotice(reply.m_response, names);
  }
  return report;
}

std::optional<ReportedLoad> ParseLoad(const std::string& text) {
  std::vector<uint32_t> figures;
  const char* at = text.data();
  const char* const end = at + text.size();
  while (true) {
    uint32_t figure = 0;
    const auto [next, error] = std::from_chars(at, end, figure);
    if (error != std::errc()) {
      return std::nullopt;
    }
    figures.push_back(figure);
    if (next == end) {
      break;
    }
    if (*next != ',') {
      return std::nullopt;
    }
    at = next + 1;
  }
  if (figures.size() < kLeastLoadFigures) {
    return std::nullopt;
  }
  ReportedLoad load{
      .m_running = figures[0], .m_waiting = figures[1], .m_slots = figures[2]};
  if (figures.size() > kLeastLoadFigures) {
    load.m_work_percent = figures[3];
  }
  return load;
}

}  // namespace sorrelplank
