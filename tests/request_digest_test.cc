/// @file request_digest_test.cc Which requests have equal digests.

#include <criterion/criterion.h>

#include <string>

#include "net/http_message_type.h"
#include "proxy/proxy_header_names_type.h"
#include "proxy/request_digest_func.h"

namespace sorrelplank {
namespace {

ProxyHeaderNames MakeNames() {
  ProxyHeaderNames names;
  names.m_request_id = "our-request-id";
  names.m_deadline_ms = "x-time-left";
  names.m_expected_instance = "our-instance";
  return names;
}

HttpRequest MakeRequest() {
  HttpRequest request;
  request.m_method = "POST";
  request.m_path = "/desk/3";
  request.m_target = "/desk/3?day=2";
  request.m_headers = {{"host", "gates.example"},
                       {"authorization", "a"},
                       {"our-request-id", "1"},
                       {"x-time-left", "3000"}};
  request.m_body = "stand 17";
  request.m_remote_ip = 0x0a000007;
  request.m_connection = 4;
  return request;
}

template <typename Change>
bool IsSameAfter(const Change& change) {
  HttpRequest request = MakeRequest();
  change(request);
  const ProxyHeaderNames names = MakeNames();
  return ComputeRequestDigest(request, names) ==
         ComputeRequestDigest(MakeRequest(), names);
}

Test(RequestDigest, OtherIdTimeAndConnection_Digest_IsTheSame) {
  cr_assert(IsSameAfter([](HttpRequest& request) {
    request.m_headers["our-request-id"] = "2";
    request.m_headers["x-time-left"] = "1200";
    request.m_headers["traceparent"] = "00-1-2-01";
    request.m_headers["connection"] = "close";
    request.m_connection = 5;
  }));
}

Test(RequestDigest, OneOtherPart_Digest_Differs) {
  cr_assert_not(IsSameAfter([](HttpRequest& one) { one.m_method = "PUT"; }));
  cr_assert_not(
      IsSameAfter([](HttpRequest& one) { one.m_headers["host"] = "h"; }));
  cr_assert_not(
      IsSameAfter([](HttpRequest& one) { one.m_target = "/desk/3?day=3"; }));
  cr_assert_not(IsSameAfter(
      [](HttpRequest& one) { one.m_headers["authorization"] = "b"; }));
  cr_assert_not(IsSameAfter([](HttpRequest& one) { one.m_body += "0"; }));
}

// Clients in all regions repeat a request that crashes servers, from several
// addresses. With the address in the digest, each address could crash three
// servers and then three more: two such requests crashed 22 and 29 servers.
// They arrived at VMs of all three regions, although the directory names a
// client only the VMs of its own region.
Test(RequestDigest, OtherAddress_Digest_IsTheSame) {
  cr_assert(
      IsSameAfter([](HttpRequest& request) { request.m_remote_ip += 1; }));
}

// Without the lengths, a client could shift text between two parts and produce
// the digest of another request.
Test(RequestDigest, SameTextInOtherParts_Digest_Differs) {
  cr_assert_not(IsSameAfter([](HttpRequest& one) {
    one.m_method = "POST/desk";
    one.m_target = "/3?day=2";
  }));
}

Test(RequestDigest, Text_ReadAgain_IsTheSame) {
  const RequestDigest digest{.m_high = 0x12, .m_low = ~uint64_t{0}};
  const std::string text = FormatDigest(digest);
  cr_assert_str_eq(text.c_str(), "0000000000000012ffffffffffffffff");
  cr_assert(ParseDigest(text) == digest);
  cr_assert_not(ParseDigest("12").has_value());
  cr_assert_not(ParseDigest(std::string(32, 'g')).has_value());
}

// An organisation sends a request that crashes servers with either of its two
// keys. Treated as two requests, it would crash twice as many servers.
Test(RequestDigest, OtherKeyOfTheOrganisation_Digest_IsTheSame) {
  const CallerIdentity acme{.m_organisation = "acme",
                            .m_excludes_credentials = true};
  ProxyHeaderNames names = MakeNames();
  names.m_credentials = "authorization";
  HttpRequest request = MakeRequest();
  request.m_headers["authorization"] = "b";
  cr_assert_eq(ComputeRequestDigest(request, names, acme),
               ComputeRequestDigest(MakeRequest(), names, acme));
}

// Two organisations send the same request. Holding back that of one must not
// affect the other.
Test(RequestDigest, OtherOrganisation_Digest_Differs) {
  const CallerIdentity acme{.m_organisation = "acme",
                            .m_excludes_credentials = true};
  const CallerIdentity byte{.m_organisation = "byte",
                            .m_excludes_credentials = true};
  cr_assert_neq(ComputeRequestDigest(MakeRequest(), MakeNames(), acme),
                ComputeRequestDigest(MakeRequest(), MakeNames(), byte));
}

}  // namespace
}  // namespace sorrelplank
