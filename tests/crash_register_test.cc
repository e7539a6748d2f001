/// @file crash_register_test.cc When a request is held back, and until when.

#include "steer/crash_register.h"

#include <criterion/criterion.h>

#include <string>

namespace sorrelplank {
namespace {

constexpr RequestDigest kOne{.m_high = 1, .m_low = 1};
constexpr RequestDigest kOther{.m_high = 1, .m_low = 2};
constexpr TimePoint kStart{seconds(1000)};
using Change = CrashRegister::Change;

/// A register to which ends are told.
struct RegisterFixture {
  CrashRegister m_register;
  TimePoint m_now = kStart;

  Change Note(const RequestDigest& digest, const std::string& run) {
    return m_register.Note({digest, run}, Duration::zero(), m_now);
  }
  /// Three ends of servers under the request, as it takes to hold it back.
  void Hold(const RequestDigest& digest) {
    Note(digest, "a");
    Note(digest, "b");
    Note(digest, "c");
    cr_assert(m_register.IsHeld(digest, m_now));
  }
};

Test(CrashRegister, ThirdEnd_OfAnotherRun_HoldsBack) {
  RegisterFixture fixture;
  cr_assert_eq(fixture.Note(kOne, "a"), Change::kSuspected);
  cr_assert_eq(fixture.Note(kOne, "b"), Change::kSuspected);
  cr_assert_not(fixture.m_register.IsHeld(kOne, fixture.m_now));
  cr_assert_eq(fixture.Note(kOne, "c"), Change::kHeld);
  cr_assert(fixture.m_register.IsHeld(kOne, fixture.m_now));
  cr_assert_not(fixture.m_register.IsHeld(kOther, fixture.m_now));
}

// Several VMs had the request at the server that ended; each of them tells it.
Test(CrashRegister, OneRun_ToldThreeTimes_CountsOnce) {
  RegisterFixture fixture;
  fixture.Note(kOne, "a");
  cr_assert_eq(fixture.Note(kOne, "a"), Change::kNone);
  cr_assert_eq(fixture.Note(kOne, "a"), Change::kNone);
  cr_assert_eq(fixture.m_register.Ends(kOne, fixture.m_now), 1);
}

Test(CrashRegister, Answered_Facts_AreGivenBackAndForgotten) {
  RegisterFixture fixture;
  fixture.Hold(kOne);
  cr_assert_eq(fixture.m_register.Clear(kOne).size(), 3);
  cr_assert_eq(fixture.m_register.Ends(kOne, fixture.m_now), 0);
  cr_assert(fixture.m_register.Clear(kOne).empty());
}

Test(CrashRegister, OneFactRemoved_Request_IsNoLongerHeld) {
  RegisterFixture fixture;
  fixture.Hold(kOne);
  fixture.m_register.Remove({kOne, "b"});
  fixture.m_register.Remove({kOther, "b"});
  cr_assert_eq(fixture.m_register.Ends(kOne, fixture.m_now), 2);
  cr_assert_not(fixture.m_register.IsHeld(kOne, fixture.m_now));
}

// Tried again every few minutes, it would end servers all day.
Test(CrashRegister, Held_ForADay_ThenForgotten) {
  RegisterFixture fixture;
  fixture.Hold(kOne);
  fixture.m_now += std::chrono::hours(23);
  cr_assert(fixture.m_register.IsHeld(kOne, fixture.m_now));
  cr_assert_eq(fixture.m_register.HeldFor(kOne, fixture.m_now),
               std::chrono::hours(1));
  fixture.m_now += std::chrono::hours(1);
  cr_assert_not(fixture.m_register.IsHeld(kOne, fixture.m_now));
  cr_assert_eq(fixture.m_register.TakeExpired(0, fixture.m_now).size(), 3);
  cr_assert_eq(fixture.m_register.SuspectCount(), 0);
}

Test(CrashRegister, OneEnd_AfterTenMinutes_NoLongerCounts) {
  RegisterFixture fixture;
  fixture.Note(kOne, "a");
  fixture.m_now += std::chrono::minutes(10);
  cr_assert_eq(fixture.m_register.Ends(kOne, fixture.m_now), 0);
}

// All VMs forget at the same moment; removed by all of them at once, each fact
// would cost hundreds of calls.
Test(CrashRegister, Expired_VmsOfDifferentSpread_RemoveAtDifferentTimes) {
  RegisterFixture fixture;
  fixture.Note(kOne, "a");
  fixture.m_now += std::chrono::minutes(12);
  cr_assert(fixture.m_register.TakeExpired(0.5, fixture.m_now).empty());
  cr_assert_eq(fixture.m_register.TakeExpired(0.1, fixture.m_now).size(), 1);
}

// A VM starts and reads facts of long ago.
Test(CrashRegister, OldFacts_ReadAtAStart_CountByTheirAge) {
  RegisterFixture fixture;
  for (const char* run : {"a", "b", "c"}) {
    fixture.m_register.Note({kOne, run}, std::chrono::hours(25), fixture.m_now);
    fixture.m_register.Note({kOther, run}, std::chrono::hours(5),
                            fixture.m_now);
  }
  cr_assert_not(fixture.m_register.IsHeld(kOne, fixture.m_now));
  cr_assert(fixture.m_register.IsHeld(kOther, fixture.m_now));
}

// Thousands of requests are at servers' ends. What is held back stays so.
Test(CrashRegister, Flood_OfSuspects_KeepsThoseHeldBack) {
  RegisterFixture fixture;
  fixture.Hold(kOne);
  for (uint64_t number = 0; number < 10'000; ++number) {
    fixture.Note({.m_high = 2, .m_low = number}, "a");
  }
  cr_assert(fixture.m_register.IsHeld(kOne, fixture.m_now));
  cr_assert_leq(fixture.m_register.SuspectCount(), 4096);
}

}  // namespace
}  // namespace sorrelplank
