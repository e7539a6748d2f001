/// @file crash_register_test.cc When and how long a request is held back.

#include "steer/crash_register.h"

#include <criterion/criterion.h>

#include <string>

namespace sorrelplank {
namespace {

constexpr RequestDigest kOne{.m_high = 1, .m_low = 1};
constexpr RequestDigest kOther{.m_high = 1, .m_low = 2};
constexpr TimePoint kStart{seconds(1000)};
using Change = CrashRegister::Change;

/// A register and its clock.
struct RegisterFixture {
  CrashRegister m_register;
  TimePoint m_now = kStart;

  Change Add(const RequestDigest& digest, const std::string& run) {
    return m_register.Add({digest, run}, {}, m_now);
  }
  /// Adds the three crashes that hold a request back.
  void Hold(const RequestDigest& digest) {
    Add(digest, "a");
    Add(digest, "b");
    Add(digest, "c");
    cr_assert(m_register.IsHeldBack(digest, m_now));
  }
};

Test(CrashRegister, ThirdCrash_OfAnotherRun_HoldsBack) {
  RegisterFixture fixture;
  cr_assert_eq(fixture.Add(kOne, "a"), Change::kSuspected);
  cr_assert_eq(fixture.Add(kOne, "b"), Change::kSuspected);
  cr_assert_not(fixture.m_register.IsHeldBack(kOne, fixture.m_now));
  cr_assert_eq(fixture.Add(kOne, "c"), Change::kHeld);
  cr_assert(fixture.m_register.IsHeldBack(kOne, fixture.m_now));
  cr_assert_not(fixture.m_register.IsHeldBack(kOther, fixture.m_now));
}

// Several VMs had the request at the server that crashed; each of them reports
// it.
Test(CrashRegister, OneRun_ReportedThreeTimes_CountsOnce) {
  RegisterFixture fixture;
  fixture.Add(kOne, "a");
  cr_assert_eq(fixture.Add(kOne, "a"), Change::kNone);
  cr_assert_eq(fixture.Add(kOne, "a"), Change::kNone);
  cr_assert_eq(fixture.m_register.CrashCount(kOne, fixture.m_now), 1);
}

Test(CrashRegister, Answered_Records_AreReturnedAndRemoved) {
  RegisterFixture fixture;
  fixture.Hold(kOne);
  cr_assert_eq(fixture.m_register.NoteAnswer(kOne, fixture.m_now).size(), 3);
  cr_assert_eq(fixture.m_register.CrashCount(kOne, fixture.m_now), 0);
  cr_assert(fixture.m_register.NoteAnswer(kOne, fixture.m_now).empty());
}

Test(CrashRegister, OneRecordRemoved_Request_IsNoLongerHeldBack) {
  RegisterFixture fixture;
  fixture.Hold(kOne);
  fixture.m_register.Remove({kOne, "b"});
  fixture.m_register.Remove({kOther, "b"});
  cr_assert_eq(fixture.m_register.CrashCount(kOne, fixture.m_now), 2);
  cr_assert_not(fixture.m_register.IsHeldBack(kOne, fixture.m_now));
}

// Retried every few minutes, the request would crash servers all day.
Test(CrashRegister, HeldBack_AfterADay_IsReleased) {
  RegisterFixture fixture;
  fixture.Hold(kOne);
  fixture.m_now += std::chrono::hours(23);
  cr_assert(fixture.m_register.IsHeldBack(kOne, fixture.m_now));
  cr_assert_eq(fixture.m_register.HeldBackTimeLeft(kOne, fixture.m_now),
               std::chrono::hours(1));
  fixture.m_now += std::chrono::hours(1);
  cr_assert_not(fixture.m_register.IsHeldBack(kOne, fixture.m_now));
  cr_assert_eq(fixture.m_register.TakeExpired(0, fixture.m_now).size(), 3);
  cr_assert_eq(fixture.m_register.SuspectCount(), 0);
}

Test(CrashRegister, OneCrash_AfterTenMinutes_NoLongerCounts) {
  RegisterFixture fixture;
  fixture.Add(kOne, "a");
  fixture.m_now += std::chrono::minutes(10);
  cr_assert_eq(fixture.m_register.CrashCount(kOne, fixture.m_now), 0);
}

// Records expire at all VMs at the same moment; if all of them removed each
// record at once, it would cost hundreds of calls to the store.
Test(CrashRegister, Expired_VmsOfDifferentSpread_RemoveAtDifferentTimes) {
  RegisterFixture fixture;
  fixture.Add(kOne, "a");
  fixture.m_now += std::chrono::minutes(12);
  cr_assert(fixture.m_register.TakeExpired(0.5, fixture.m_now).empty());
  cr_assert_eq(fixture.m_register.TakeExpired(0.1, fixture.m_now).size(), 1);
}

// A server answers the request a moment before others crash with it, as with
// their failure domain. Later crashes count.
Test(CrashRegister, AnsweredJustBefore_Crash_IsRefuted) {
  RegisterFixture fixture;
  fixture.m_register.NoteAnswer(kOne, fixture.m_now);
  fixture.m_now += seconds(1);
  cr_assert_eq(fixture.Add(kOne, "a"), Change::kRefuted);
  cr_assert_eq(fixture.Add(kOther, "a"), Change::kSuspected);
  fixture.m_now += seconds(2);
  cr_assert_eq(fixture.Add(kOne, "b"), Change::kSuspected);
}

// Another VM's record of a crash arrives after the request was answered.
Test(CrashRegister, AnsweredSince_LateRecord_IsRefuted) {
  RegisterFixture fixture;
  fixture.m_register.NoteAnswer(kOne, fixture.m_now);
  fixture.m_now += seconds(5);
  cr_assert_eq(
      fixture.m_register.Add({kOne, "a"}, {.m_age = seconds(6)}, fixture.m_now),
      Change::kRefuted);
}

// Three runs crash together and hold the request back, but not for a day.
Test(CrashRegister, CoincidentCrashes_Hold_AllowsATrial) {
  RegisterFixture fixture;
  const auto add = [&](const std::string& run, const std::string& observer) {
    fixture.m_register.Add({kOne, run}, {{}, milliseconds(400), observer},
                           fixture.m_now);
  };
  add("a", "vm-1");
  add("b", "vm-2");
  fixture.m_now += milliseconds(100);
  add("c", "vm-1");
  cr_assert(fixture.m_register.IsHeldBack(kOne, fixture.m_now));
  cr_assert_not(fixture.m_register.IsTrialDue(kOne, fixture.m_now));
  fixture.m_now += seconds(2);
  cr_assert(fixture.m_register.IsTrialDue(kOne, fixture.m_now));
  fixture.m_register.NoteTrial(kOne, fixture.m_now);
  cr_assert_not(fixture.m_register.IsTrialDue(kOne, fixture.m_now));
  fixture.m_now += std::chrono::minutes(10);
  cr_assert_not(fixture.m_register.IsHeldBack(kOne, fixture.m_now));
}

// A VM starts and reads old records.
Test(CrashRegister, OldRecords_ReadAtStart_CountByTheirAge) {
  RegisterFixture fixture;
  for (const char* run : {"a", "b", "c"}) {
    fixture.m_register.Add({kOne, run}, {.m_age = std::chrono::hours(25)},
                           fixture.m_now);
    fixture.m_register.Add({kOther, run}, {.m_age = std::chrono::hours(5)},
                           fixture.m_now);
  }
  cr_assert_not(fixture.m_register.IsHeldBack(kOne, fixture.m_now));
  cr_assert(fixture.m_register.IsHeldBack(kOther, fixture.m_now));
}

// Thousands of requests are suspected. Those held back must not be dropped.
Test(CrashRegister, ManySuspects_HeldBackRequest_IsKept) {
  RegisterFixture fixture;
  fixture.Hold(kOne);
  for (uint64_t number = 0; number < 10'000; ++number) {
    fixture.Add({.m_high = 2, .m_low = number}, "a");
  }
  cr_assert(fixture.m_register.IsHeldBack(kOne, fixture.m_now));
  cr_assert_leq(fixture.m_register.SuspectCount(), 4096);
}

}  // namespace
}  // namespace sorrelplank
