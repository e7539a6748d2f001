/// @file request_digest_test.cc What makes two requests the same one.

#include <criterion/criterion.h>

#include <string>

#include "net/http_message_type.h"
#include "proxy/proxy_names_type.h"
#include "proxy/request_digest_func.h"

namespace sorrelplank {
namespace {

ProxyNames MakeNames() {
  ProxyNames names;
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
  const ProxyNames names = MakeNames();
  return DigestOf(request, names) == DigestOf(MakeRequest(), names);
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

// A request that ends servers is repeated from several addresses, of clients in
// all regions. Each address has three servers to end, and then three more.
// With the address in the digest 22 and 29 servers ended under two of them,
// which came to VMs of all three regions; a client is told of those of its own.
Test(RequestDigest, OtherAddress_Digest_IsTheSame) {
  cr_assert(
      IsSameAfter([](HttpRequest& request) { request.m_remote_ip += 1; }));
}

// Taken together without their lengths, two parts could be moved into one
// another by a client, and its request would pass for another one.
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

// An organisation has two keys, and its request that ends servers comes with
// either. Taken for two requests, it would end twice as many.
Test(RequestDigest, OtherKeyOfTheOrganisation_Digest_IsTheSame) {
  const CallerIdentity acme{.m_organisation = "acme", .m_hides_key = true};
  ProxyNames names = MakeNames();
  names.m_credentials = "authorization";
  HttpRequest request = MakeRequest();
  request.m_headers["authorization"] = "b";
  cr_assert_eq(DigestOf(request, names, acme),
               DigestOf(MakeRequest(), names, acme));
}

// Two organisations ask the same. One must not hold back the other.
Test(RequestDigest, OtherOrganisation_Digest_Differs) {
  const CallerIdentity acme{.m_organisation = "acme", .m_hides_key = true};
  const CallerIdentity byte{.m_organisation = "byte", .m_hides_key = true};
  cr_assert_neq(DigestOf(MakeRequest(), MakeNames(), acme),
                DigestOf(MakeRequest(), MakeNames(), byte));
}

}  // namespace
}  // namespace sorrelplank
