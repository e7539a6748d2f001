/// @file peer_fields.cc Formatting and parsing of the fields.

#include <fmt/format.h>

#include <charconv>
#include <limits>
#include <optional>

#include "net/http_message_type.h"
#include "proxy/peer_fields_func.h"
#include "proxy/server_reply_type.h"
#include "steer/steer_refusal_type.h"

namespace sorrelplank {

namespace {

/// Version of the sender's routing table.
constexpr const char* kPeerTableField = "sorrelplank-peer-table";
/// "1" if the sender's data on servers and configuration may be outdated.
constexpr const char* kPeerStaleField = "sorrelplank-peer-stale";
/// Backend servers that the request may still be sent to.
constexpr const char* kPeerSendsField = "sorrelplank-peer-sends";

template <typename Number>
std::optional<Number> ParseNumber(const std::optional<std::string>& text) {
  Number number = 0;
  if (!text) {
    return std::nullopt;
  }
  const char* const end = text->data() + text->size();
  const auto [parsed_to, error] = std::from_chars(text->data(), end, number);
  return error == std::errc() && parsed_to == end ? std::optional(number)
                                                  : std::nullopt;
}

}  // namespace

bool IsPeerField(const std::string& name) {
  return name == kPeerTableField || name == kPeerStaleField ||
         name == kPeerSendsField || name == kPeerRefusalField;
}

std::string FormatPassedOnTerms(const PassedOnTerms& terms) {
  return fmt::format("{}: {}\r\n{}: {}\r\n{}: {}\r\n", kPeerTableField,
                     terms.m_table_version, kPeerStaleField,
                     terms.m_is_data_stale ? 1 : 0, kPeerSendsField,
                     terms.m_max_sends);
}

PassedOnTerms ParsePassedOnTerms(const HttpRequest& request) {
  return {
      .m_table_version = ParseNumber<uint64_t>(request.Header(kPeerTableField))
                             .value_or(std::numeric_limits<uint64_t>::max()),
      .m_is_data_stale = request.Header(kPeerStaleField) == "1",
      .m_max_sends =
          ParseNumber<uint32_t>(request.Header(kPeerSendsField)).value_or(1)};
}

PeerReport ClassifyPeerReply(const ServerReply& reply) {
  switch (reply.m_end) {
    case ReplyEnd::kNotSent:
      return {.m_end = PeerEnd::kNotSent};
    case ReplyEnd::kLost:
    case ReplyEnd::kOversized:
      return {.m_end = PeerEnd::kLost};
    case ReplyEnd::kComplete:
      break;
  }
  PeerReport report{.m_end = PeerEnd::kAnswered};
  const std::string* refusal =
      FindField(reply.m_response.m_headers, kPeerRefusalField);
  if (refusal != nullptr) {
    report.m_refusal = FindSteerRefusal(*refusal);
  }
  return report;
}

const char* PeerSendEndName(const ServerReply& reply,
                            const PeerReport& report) {
  if (reply.m_end == ReplyEnd::kOversized) {
    return "oversized";
  }
  return report.m_refusal ? DescribeSteerRefusal(*report.m_refusal).m_name
                          : PeerEndName(report.m_end);
}

}  // namespace sorrelplank
