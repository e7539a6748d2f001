/// @file slot_notice_test.cc Slot notices between entry VMs.

#include <criterion/criterion.h>

#include <memory>

#include "tests/node_fixture.h"

namespace sorrelplank {
namespace {

std::unique_ptr<NodeFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<NodeFixture>();
  g_fixture->Feed(GossipArrived{{g_fixture->MakeRecord("c", "n2", 1)}});
}

void TearDown() {
  g_fixture.reset();
}

/// The holder at n2 reports that no slot is free.
void ReportNoFreeSlots() {
  g_fixture->Feed(SlotNoticeArrived{"c", {HashName("read"), 2, 0}, false});
}

TestSuite(SlotNotice, .init = SetUp, .fini = TearDown);

Test(SlotNotice, OwnSlotsFull_OtherFree_HandsOn) {
  g_fixture->Call("read", 1);
  g_fixture->Call("read", 2);
  g_fixture->Call("read", 3);
  const auto* hand_on = g_fixture->Find<HandOnToVm>();
  cr_assert_not_null(hand_on);
  cr_assert_eq(hand_on->m_vm, "c");
}

Test(SlotNotice, AllFull_RequestQueues_NearestHolderIsNotified) {
  ReportNoFreeSlots();
  g_fixture->Call("read", 1);
  g_fixture->Call("read", 2);
  g_fixture->Call("read", 3);
  const auto* notice = g_fixture->Find<SendSlotNotice>();
  cr_assert_not_null(notice);
  cr_assert(notice->m_is_slot_request);
}

Test(SlotNotice, OtherFreesASlot_RequestWaits_IsHandedOnAtOnce) {
  ReportNoFreeSlots();
  g_fixture->Call("read", 1);
  g_fixture->Call("read", 2);
  g_fixture->Call("read", 3);
  g_fixture->Feed(SlotNoticeArrived{"c", {HashName("read"), 2, 1}, false});
  cr_assert_not_null(g_fixture->Find<HandOnToVm>());
}

Test(SlotNotice, OtherWantsASlot_OneIsFreed_IsOfferedIt) {
  g_fixture->Call("read", 1);
  const AttemptId first = g_fixture->Find<DispatchToBackend>()->m_attempt;
  g_fixture->Call("read", 2);
  g_fixture->Feed(SlotNoticeArrived{"c", {HashName("read"), 2, 0}, true});
  cr_assert_null(g_fixture->Find<SendSlotNotice>());
  g_fixture->Feed(AttemptEnded{first, AttemptOutcome::kAnswered, {}, {}});
  const auto* offer = g_fixture->Find<SendSlotNotice>();
  cr_assert_not_null(offer);
  cr_assert_not(offer->m_is_slot_request);
}

}  // namespace
}  // namespace sorrelplank
