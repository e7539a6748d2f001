/// @file store_mirror_test.cc Merging the store's pages and events.

#include "platform/store_mirror.h"

#include <criterion/criterion.h>

#include <memory>

namespace sorrelplank::platform {
namespace {

/// A mirror with twelve servers, read at t = 1 s.
struct MirrorFixture {
  StoreMirror m_mirror;
  TimePoint m_now{seconds(1)};
  std::vector<StoreItem> m_items;

  MirrorFixture() {
    for (uint64_t number = 1; number <= 12; ++number) {
      m_items.push_back(Item("servers/i-" + std::to_string(number), number));
    }
    m_mirror.Load(m_items, {}, m_now);
  }

  static StoreItem Item(const std::string& key, uint64_t revision) {
    return {key, "{}", Revision(revision), false};
  }

  static StoreItem Removal(const std::string& key, uint64_t revision) {
    return {key, "", Revision(revision), true};
  }

  std::vector<StoreItem> AllRemoved() const {
    std::vector<StoreItem> removals;
    for (const StoreItem& item : m_items) {
      removals.push_back(Removal(item.m_key, 100));
    }
    return removals;
  }
};

std::unique_ptr<MirrorFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<MirrorFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(StoreMirror, .init = SetUp, .fini = TearDown);

Test(StoreMirror, Removal_NoOutage_IsAppliedAtOnce) {
  auto& mirror = g_fixture->m_mirror;
  const auto changes =
      mirror.Apply(g_fixture->AllRemoved(), g_fixture->m_now + seconds(60));
  cr_assert_eq(changes.size(), 12);
}

// The store is down for longer than the servers' leases. When it recovers, all
// entries have expired, and the servers write them again within two seconds.
// Requests must be served meanwhile, so no server may be dropped.
Test(StoreMirror, AllExpired_StoreJustBack_MostAreDeferredUntilTheyReturn) {
  auto& mirror = g_fixture->m_mirror;
  const TimePoint back = g_fixture->m_now + seconds(20);
  mirror.MarkStoreFailed();
  mirror.MarkStoreAnswered(back);
  const auto removed = mirror.Apply(g_fixture->AllRemoved(), back);
  cr_assert_leq(removed.size(), 2);
  std::vector<StoreItem> returned;
  for (const StoreItem& item : g_fixture->m_items) {
    returned.push_back(MirrorFixture::Item(item.m_key, 200));
  }
  mirror.Apply(returned, back + seconds(1));
  cr_assert(mirror.ApplyDeferred(back + seconds(10)).empty());
}

Test(StoreMirror, AllExpired_NotBackAfterTwoSeconds_AreRemoved) {
  auto& mirror = g_fixture->m_mirror;
  const TimePoint back = g_fixture->m_now + seconds(20);
  mirror.MarkStoreFailed();
  mirror.MarkStoreAnswered(back);
  const size_t at_once = mirror.Apply(g_fixture->AllRemoved(), back).size();
  cr_assert(mirror.ApplyDeferred(back + milliseconds(1900)).empty());
  cr_assert_eq(mirror.ApplyDeferred(back + milliseconds(2100)).size(),
               12 - at_once);
}

// An entry VM is cut off from the store for ten seconds, and a server leaves
// meanwhile. The VM learns of the removal late; with any further delay, it
// would send the server requests that it no longer serves.
Test(StoreMirror, OneLeft_WhileCutOff_IsAppliedAtOnce) {
  auto& mirror = g_fixture->m_mirror;
  const TimePoint back = g_fixture->m_now + seconds(10);
  mirror.MarkStoreFailed();
  mirror.MarkStoreAnswered(back);
  std::vector<StoreItem> left = g_fixture->m_items;
  left.pop_back();
  const auto changes = mirror.Load(left, {}, back);
  cr_assert_eq(changes.size(), 1);
  cr_assert(changes.front().m_removed);
}

Test(StoreMirror, Evacuation_LiftedDuringOutage_IsAppliedAtOnce) {
  auto& mirror = g_fixture->m_mirror;
  const TimePoint back = g_fixture->m_now + seconds(10);
  mirror.Apply({MirrorFixture::Item("op/evacuate/a", 20)}, g_fixture->m_now);
  mirror.MarkStoreFailed();
  mirror.MarkStoreAnswered(back);
  const auto changes =
      mirror.Apply({MirrorFixture::Removal("op/evacuate/a", 30)}, back);
  cr_assert_eq(changes.size(), 1);
}

// Pages are read one after the other, and the watch starts at the first page's
// revision, so events may be older than what a later page contained.
Test(StoreMirror, Event_OlderThanThePage_IsIgnored) {
  auto& mirror = g_fixture->m_mirror;
  cr_assert(
      mirror.Apply({MirrorFixture::Removal("servers/i-12", 11)}, TimePoint())
          .empty());
  cr_assert(mirror.Apply({MirrorFixture::Item("servers/i-12", 12)}, TimePoint())
                .empty());
}

}  // namespace
}  // namespace sorrelplank::platform
