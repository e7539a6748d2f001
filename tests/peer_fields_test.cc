/// @file peer_fields_test.cc Header fields between entry VMs.

#include <criterion/criterion.h>

#include <limits>
#include <string>

#include "net/http_message_type.h"
#include "proxy/peer_fields_func.h"
#include "proxy/server_reply_type.h"

namespace sorrelplank {
namespace {

Test(PeerFields, Terms_FormattedAndParsed_AreTheSame) {
  const std::string lines =
      FormatPassedOnTerms({.m_table_version = 17, .m_max_sends = 2});
  cr_assert_str_eq(lines.c_str(),
                   "sorrelplank-peer-table: 17\r\nsorrelplank-peer-stale: 0\r\n"
                   "sorrelplank-peer-sends: 2\r\n");
  HttpRequest request;
  request.m_headers = {{"sorrelplank-peer-table", "17"},
                       {"sorrelplank-peer-sends", "2"}};
  cr_assert_eq(ParsePassedOnTerms(request).m_table_version, 17);
  cr_assert_eq(ParsePassedOnTerms(request).m_max_sends, 2);
}

Test(PeerFields, Terms_Malformed_AreTheStrictest) {
  HttpRequest request;
  request.m_headers = {{"sorrelplank-peer-table", "17x"}};
  cr_assert_eq(ParsePassedOnTerms(request).m_table_version,
               std::numeric_limits<uint64_t>::max());
  cr_assert_eq(ParsePassedOnTerms(request).m_max_sends, 1);
}

Test(PeerFields, Reply_WithRefusal_NamesIt) {
  ServerReply reply;
  reply.m_end = ReplyEnd::kComplete;
  reply.m_response.m_status = 503;
  reply.m_response.m_headers = {{kPeerRefusalField, "no_server"}};
  const PeerReport report = ClassifyPeerReply(reply);
  cr_assert_eq(report.m_end, PeerEnd::kAnswered);
  cr_assert(report.m_refusal == SteerRefusal::kNoServer);
}

// Another VM's oversized response looked like any lost one in logs and metrics.
Test(PeerFields, Reply_Oversized_HasItsOwnName) {
  ServerReply reply;
  reply.m_end = ReplyEnd::kOversized;
  const PeerReport report = ClassifyPeerReply(reply);
  cr_assert_eq(report.m_end, PeerEnd::kLost);
  cr_assert_eq(std::string(PeerSendEndName(reply, report)), "oversized");
}

}  // namespace
}  // namespace sorrelplank
