/// @file log_merge_test.cc Merging the logs of many processes into one order.

#include "cli/log_merge_func.h"

#include <criterion/criterion.h>

namespace sorrelplank {
namespace {

TestSuite(LogMerge);

std::string Line(int64_t time_us,
                 const std::string& vm,
                 const std::string& event,
                 const std::string& fields) {
  return R"({"time_us":)" + std::to_string(time_us) + R"(,"vm":")" + vm +
         R"(","event":")" + event + "\"" + fields + "}\n";
}

// One process's clock is two seconds ahead. Sorted by uncorrected times, it
// would seem to refuse a request before the evacuation that caused the refusal.
// The clock difference follows from the changes in the store that both saw.
Test(LogMerge, ClockAhead_SharedChanges_CauseComesFirst) {
  std::string text;
  text += Line(1000, "a", "config", R"(,"version":3)");
  text += Line(5000000, "a", "evacuation", R"(,"failure_domain":"d")");
  text += Line(5000100, "a", "vm", R"(,"key":"x")");
  text += Line(2001000, "b", "config", R"(,"version":3)");
  text += Line(7000050, "b", "evacuation", R"(,"failure_domain":"d")");
  text += Line(6999000, "b", "refuse", R"(,"request":"r1")");
  text += Line(5000200, "a", "send", R"(,"request":"r2")");
  const auto events = MergeLogs(ParseLogLines(text));
  cr_assert_eq(events.size(), 7);
  size_t refuse = 0;
  size_t cause = 0;
  for (size_t at = 0; at < events.size(); ++at) {
    refuse = events[at].m_event == "refuse" ? at : refuse;
    cause = events[at].m_event == "send" ? at : cause;
  }
  cr_assert_lt(refuse, cause);
  cr_assert_leq(std::abs(events.back().m_time.count() - 5000200), 200);
}

Test(LogMerge, PrefixedAndDamagedLines_Mixed_AreParsedOrSkipped) {
  const auto events = ParseLogLines(
      "  12.5 vm-1 " + Line(7, "vm-1", "start", "") + "no event\n" +
      R"({"time_us":1,"vm":"a"})"
      "\n"
      R"({"time_us":"x","vm":"a","event":"b"})"
      "\n"
      R"({"time_us":5,"vm":"a","event":"cut)"
      "\n");
  cr_assert_eq(events.size(), 1);
  cr_assert_str_eq(events[0].m_vm.c_str(), "vm-1");
}

}  // namespace
}  // namespace sorrelplank
