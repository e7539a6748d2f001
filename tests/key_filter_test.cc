/// @file key_filter_test.cc Repeats of non-idempotent requests.

#include "pipeline/key_filter.h"

#include <criterion/criterion.h>

#include <memory>

namespace sorrelplank {
namespace {

const KeyHash kKey(42);
const TimePoint kNow(seconds(50));

/// Key memory, membership and key filter of one entry VM.
struct Fixture {
  KeyMemory m_memory{seconds(120)};
  Membership m_members{"a", HashName("n1"), Incarnation(7)};
  KeyFilter m_filter{"a", Incarnation(7)};

  KeyDecision Arrive(uint64_t request, Tried tried) {
    Call call;
    call.m_request = RequestId(request);
    call.m_key = kKey;
    call.m_tried = std::move(tried);
    return m_filter.Apply(call, m_memory, m_members, kNow);
  }
};

std::unique_ptr<Fixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<Fixture>();
}

void TearDown() {
  g_fixture.reset();
}

template <typename Kind>
bool Is(const KeyDecision& decision) {
  return std::holds_alternative<Kind>(decision);
}

RefusalReason ReasonOf(const KeyDecision& decision) {
  return std::get<KeyRefuse>(decision).m_reason;
}

TestSuite(KeyFilter, .init = SetUp, .fini = TearDown);

Test(KeyFilter, FirstSend_KeyUnknown_ProceedsWithoutQuery) {
  cr_assert(Is<KeyProceed>(g_fixture->Arrive(1, TriedNone{})));
}

Test(KeyFilter, Repeat_EarlierRan_ReplaysAnswer) {
  g_fixture->Arrive(1, TriedNone{});
  g_fixture->m_memory.End(kKey, KeyState::kRan);
  const KeyDecision decision =
      g_fixture->Arrive(2, TriedList{{"a", Incarnation(7)}});
  cr_assert_eq(std::get<KeyReplay>(decision).m_original.Get(), 1);
}

Test(KeyFilter, Repeat_EarlierInProgress_MayHaveRun) {
  g_fixture->Arrive(1, TriedNone{});
  const KeyDecision decision =
      g_fixture->Arrive(2, TriedList{{"a", Incarnation(7)}});
  cr_assert(ReasonOf(decision) == RefusalReason::kRepeatInProgress);
}

Test(KeyFilter, Repeat_ListsOtherVm_QueriesIt) {
  const KeyDecision decision =
      g_fixture->Arrive(1, TriedList{{"b", Incarnation(3)}});
  cr_assert_eq(std::get<KeyQueryPeers>(decision).m_vms.front().m_name, "b");
}

// The caller tried an earlier process of this VM whose key memory is lost. It
// may have run the request, so only "may have run" is correct.
Test(KeyFilter, Repeat_ListsFormerProcessOfThisVm_MayHaveRun) {
  const KeyDecision decision =
      g_fixture->Arrive(1, TriedList{{"a", Incarnation(6)}});
  cr_assert(ReasonOf(decision) == RefusalReason::kRepeatUnsure);
}

Test(KeyFilter, UnstatedRepeat_OthersKnown_QueriesThemAll) {
  VmRecord record;
  record.m_name = "b";
  record.m_incarnation = Incarnation(1);
  g_fixture->m_members.Merge(record, kNow);
  const KeyDecision decision = g_fixture->Arrive(1, TriedUnstated{});
  cr_assert_eq(std::get<KeyQueryPeers>(decision).m_vms.size(), 1);
}

// The caller's first send is delayed in the network. It repeats at another
// entry VM, which queries this one, learns that the key never arrived, and runs
// the request. Then the first send arrives here.
Test(KeyFilter, LateFirstSend_RepeatWasTaken_Superseded) {
  cr_assert(g_fixture->m_memory.AnswerPeerQuery(kKey, 2, kNow) ==
            KeyState::kNeverSeen);
  const KeyDecision decision = g_fixture->Arrive(1, TriedNone{});
  cr_assert(ReasonOf(decision) == RefusalReason::kSuperseded);
}

// The same with a delayed second send. It lists the first entry VM, so it looks
// like a regular repeat, but the third send has already run at a VM that it
// does not list.
Test(KeyFilter, LateSecondSend_ThirdWasTaken_Superseded) {
  g_fixture->m_memory.AnswerPeerQuery(kKey, 3, kNow);
  const KeyDecision decision =
      g_fixture->Arrive(1, TriedList{{"b", Incarnation(3)}});
  cr_assert(ReasonOf(decision) == RefusalReason::kSuperseded);
}

// A first send was refused as not run; its caller was told so and went to
// another entry VM. A copy delayed in the network must not run here.
Test(KeyFilter, LateCopy_AfterNotRun_Superseded) {
  g_fixture->Arrive(1, TriedNone{});
  g_fixture->m_memory.End(kKey, KeyState::kNotRun);
  const KeyDecision decision = g_fixture->Arrive(2, TriedNone{});
  cr_assert(ReasonOf(decision) == RefusalReason::kSuperseded);
}

Test(KeyFilter, NextSend_AfterNotRunHere_Proceeds) {
  g_fixture->Arrive(1, TriedNone{});
  g_fixture->m_memory.End(kKey, KeyState::kNotRun);
  cr_assert(
      Is<KeyProceed>(g_fixture->Arrive(2, TriedList{{"a", Incarnation(7)}})));
}

Test(KeyFilter, KeyOlderThanWindow_Expired_IsRemoved) {
  g_fixture->Arrive(1, TriedNone{});
  g_fixture->m_memory.End(kKey, KeyState::kRan);
  g_fixture->m_memory.Expire(kNow + seconds(121));
  cr_assert_eq(g_fixture->m_memory.Size(), 0);
}

}  // namespace
}  // namespace sorrelplank
