/// @file server_notice_test.cc Notices of backend servers to their callers.

#include <criterion/criterion.h>

#include "net/http_message_type.h"
#include "proxy/proxy_header_names_type.h"
#include "proxy/reply_classifier_func.h"
#include "proxy/server_notice_func.h"
#include "proxy/server_reply_type.h"
#include "steer/server_notices.h"

namespace sorrelplank {
namespace {

struct NoticeFixture {
  ProxyHeaderNames m_names;
  HttpResponse m_answer;
  ServerNotices m_notices;
  TimePoint m_now{seconds(100)};

  NoticeFixture() {
    m_names.m_rate_limit = {"limit", "other-limit"};
    m_names.m_leaving = {"leaving"};
  }

  ServerNotice Read() const { return ParseServerNotice(m_answer, m_names); }
  void AddLimit(const char* text) {
    m_answer.m_headers.emplace_back("limit", text);
  }
  void TakeLimit(std::optional<double> limit) {
    m_notices.Apply({.m_max_per_second = limit}, true, m_now);
  }
};

Test(ServerNotice, DecimalLimit_Read_IsAccepted) {
  for (const auto& [text, limit] :
       {std::pair("1.7", 1.7), std::pair("0", 0.0), std::pair("250 ", 250.0)}) {
    NoticeFixture fixture;
    fixture.AddLimit(text);
    cr_assert_eq(fixture.Read().m_max_per_second.value_or(-1), limit);
    cr_assert(!fixture.Read().m_is_malformed);
  }
}

// Guards against a limit that is ignored because of its field name.
Test(ServerNotice, LimitUnderItsOtherName_Read_IsAccepted) {
  NoticeFixture fixture;
  fixture.m_answer.m_headers.emplace_back("other-limit", "2");
  cr_assert_eq(fixture.Read().m_max_per_second, 2);
}

// Guards against a limit parsed from an invalid value.
Test(ServerNotice, LimitIsNoDecimal_Read_IsMalformed) {
  for (const char* text : {"", " ", "-1", "-0", "nan", "inf", "1e3", "3,4",
                           "Thu, 03 Dec 2026 09:00:00 GMT"}) {
    NoticeFixture fixture;
    fixture.AddLimit(text);
    cr_assert(!fixture.Read().m_max_per_second, "%s", text);
    cr_assert(fixture.Read().m_is_malformed, "%s", text);
  }
}

Test(ServerNotice, TwoLimitsInOneResponse_Read_TheLowerCounts) {
  NoticeFixture fixture;
  fixture.AddLimit("9");
  fixture.AddLimit("2.5");
  cr_assert_eq(fixture.Read().m_max_per_second, 2.5);
}

// Guards against a server that counts as leaving because of an invalid value.
Test(ServerNotice, LeavingIsNotOne_Read_IsNotLeaving) {
  for (const char* text : {"0", "", "no", "2", "-1"}) {
    NoticeFixture fixture;
    fixture.m_answer.m_headers.emplace_back("leaving", text);
    cr_assert(!fixture.Read().m_is_leaving, "%s", text);
  }
  NoticeFixture fixture;
  fixture.m_answer.m_headers.emplace_back("leaving", "1");
  cr_assert(fixture.Read().m_is_leaving);
}

// Guards against a delayed older response that revokes the notice.
Test(ServerNotice, Leaving_ResponseWithout_StaysLeaving) {
  NoticeFixture fixture;
  fixture.m_notices.Apply({.m_is_leaving = true}, true, fixture.m_now);
  fixture.m_now += seconds(60);
  fixture.m_notices.Apply({}, true, fixture.m_now);
  cr_assert(fixture.m_notices.IsLeaving());
}

// Guards against a pause parsed from an invalid value.
Test(ServerNotice, RetryAfterOf503_Read_IsAPauseOfSeconds) {
  for (const auto& [text, pause] :
       {std::pair("3", Duration{seconds(3)}),
        std::pair("0.25", Duration{milliseconds(250)}),
        std::pair("999999999999999999999", Duration{seconds(3600)})}) {
    NoticeFixture fixture;
    fixture.m_answer.m_status = 503;
    fixture.m_answer.m_headers.emplace_back("retry-after", text);
    cr_assert(fixture.Read().m_pause == pause, "%s", text);
  }
  for (const char* text : {"-3", "", "soon", "Thu, 03 Dec 2026 09:00:00 GMT"}) {
    NoticeFixture fixture;
    fixture.m_answer.m_status = 503;
    fixture.m_answer.m_headers.emplace_back("retry-after", text);
    cr_assert(!fixture.Read().m_pause, "%s", text);
    cr_assert(fixture.Read().m_is_malformed, "%s", text);
  }
}

// Guards against a pause from a Retry-After that was meant for the client.
Test(ServerNotice, RetryAfterOfAnotherStatus_Read_IsNoPause) {
  for (const int status : {200, 429, 500}) {
    NoticeFixture fixture;
    fixture.m_answer.m_status = status;
    fixture.m_answer.m_headers.emplace_back("retry-after", "3");
    cr_assert(!fixture.Read().m_pause, "%d", status);
  }
}

// Guards against a shorter pause in a delayed older response that ends a longer
// one.
Test(ServerNotice, TwoPauses_Applied_TheLaterEndCounts) {
  NoticeFixture fixture;
  fixture.m_notices.Apply({.m_pause = seconds(3)}, true, fixture.m_now);
  fixture.m_notices.Apply({.m_pause = seconds(1)}, true, fixture.m_now);
  cr_assert(fixture.m_notices.IsPaused(fixture.m_now + milliseconds(2999)));
  cr_assert(!fixture.m_notices.IsPaused(fixture.m_now + seconds(3)));
}

// Guards against notices from another server at the same address.
Test(ServerNotice, ResponseOfAnotherInstance_Classified_HasNoNotice) {
  NoticeFixture fixture;
  fixture.AddLimit("1");
  ServerReply reply;
  reply.m_end = ReplyEnd::kComplete;
  reply.m_response = fixture.m_answer;
  reply.m_response.m_status = 421;
  cr_assert(!ClassifyReply(reply, fixture.m_names).m_notice);
}

Test(ServerNotice, LimitNoLongerNamed_LaterResponse_EndsIt) {
  NoticeFixture fixture;
  fixture.TakeLimit(3);
  fixture.m_now += seconds(2);
  fixture.TakeLimit(std::nullopt);
  cr_assert(!fixture.m_notices.MaxPerSecond());
}

// Guards against an older response on another connection that ends a limit.
Test(ServerNotice, LimitNamedRecently_ResponseWithout_KeepsIt) {
  NoticeFixture fixture;
  fixture.TakeLimit(3);
  fixture.m_now += milliseconds(200);
  fixture.TakeLimit(std::nullopt);
  cr_assert_eq(fixture.m_notices.MaxPerSecond(), 3);
}

Test(ServerNotice, MalformedLimit_KnownLimit_Stays) {
  NoticeFixture fixture;
  fixture.TakeLimit(3);
  fixture.m_now += seconds(2);
  fixture.m_notices.Apply({.m_is_malformed = true}, true, fixture.m_now);
  cr_assert_eq(fixture.m_notices.MaxPerSecond(), 3);
  cr_assert(fixture.m_notices.WasMalformed());
}

}  // namespace
}  // namespace sorrelplank
