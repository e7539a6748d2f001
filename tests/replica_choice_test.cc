/// @file replica_choice_test.cc Choice between the servers of one object.

#include "steer/replica_choice.h"

#include <criterion/criterion.h>

namespace sorrelplank {
namespace {

constexpr ReplicaCandidate kFree{.m_occupancy = 1, .m_limit = 5};
constexpr ReplicaCandidate kFull{.m_occupancy = 6, .m_limit = 5};

TestSuite(ReplicaChoice);

// Guards against idle servers next to full ones: the second server was assumed
// not to have the object cached, and got nothing until the first had a queue of
// more than twice its slots.
Test(ReplicaChoice, Uneven_FirstFull_SecondIsFastest) {
  ReplicaChoice choice(true, true);
  choice.Add(kFull);
  cr_assert(choice.Add(kFree).m_is_fastest);
}

// Guards against two copies of every object at low load.
Test(ReplicaChoice, Uneven_FirstHasFreeSlot_FirstIsFastest) {
  ReplicaChoice choice(true, true);
  choice.Add({.m_occupancy = 4, .m_limit = 5});
  cr_assert_not(choice.Add(kFree).m_is_fastest);
}

// Guards against other decisions in evenly spread deployments.
Test(ReplicaChoice, Even_FirstFull_SecondOnlyIfItWasSentTheObject) {
  ReplicaChoice choice(true, false);
  choice.Add(kFull);
  ReplicaCandidate second = kFree;
  const ReplicaRank rank = choice.Add(second);
  cr_assert_not(rank.m_is_fastest);
  cr_assert(rank.m_is_fastest_free);
  second.m_was_sent_object = true;
  cr_assert(choice.Add(second).m_is_fastest);
}

// Guards against sending to a slowed machine while the other one is as usual.
Test(ReplicaChoice, FirstsMachineSlowed_SecondIsFastest) {
  ReplicaChoice choice(true, true);
  ReplicaCandidate slowed = kFree;
  slowed.m_work_factor = 2.5;
  choice.Add(slowed);
  cr_assert(choice.Add(kFree).m_is_fastest);
}

}  // namespace
}  // namespace sorrelplank
