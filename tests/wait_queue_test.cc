/// @file wait_queue_test.cc Fairness and limits of the queue.

#include "core/wait_queue.h"

#include <criterion/criterion.h>

#include <memory>

namespace sorrelplank {
namespace {

std::unique_ptr<WaitQueue> g_queue;

void SetUp() {
  g_queue = std::make_unique<WaitQueue>();
}

void TearDown() {
  g_queue.reset();
}

QueuedRequest MakeQueuedRequest(uint64_t request,
                                uint32_t caller,
                                int deadline_s) {
  return {RequestId(request), CallerId(caller), TimePoint(seconds(deadline_s))};
}

TestSuite(WaitQueue, .init = SetUp, .fini = TearDown);

// A burst of one caller fills its share of the queue. The first request is
// popped, finds no free slot and is requeued. It must not be refused because
// its caller's share has filled up again meanwhile: it was accepted before.
Test(WaitQueue, PoppedRequest_CallerLimitReached_IsRequeued) {
  for (uint64_t request = 1; request <= 18; ++request) {
    g_queue->TryPush(MakeQueuedRequest(request, 1, 10), 24);
  }
  const auto first = g_queue->Pop();
  cr_assert(first.has_value());
  g_queue->TryPush(MakeQueuedRequest(19, 1, 10), 24);
  g_queue->Requeue(*first);
  cr_assert_eq(g_queue->Pop()->m_request.Get(), first->m_request.Get());
}

Test(WaitQueue, BurstOfOneCaller_QueueNotYetFull_LeavesRoomForOthers) {
  int taken = 0;
  for (uint64_t request = 1; request <= 20; ++request) {
    taken += g_queue->TryPush(MakeQueuedRequest(request, 1, 10), 8) ? 1 : 0;
  }
  cr_assert_eq(taken, 6);
  cr_assert(g_queue->TryPush(MakeQueuedRequest(100, 2, 10), 8));
}

Test(WaitQueue, CallerWithRunningRequests_OtherCallerWaits_OtherGoesFirst) {
  g_queue->CountRunning(CallerId(1), 3);
  g_queue->TryPush(MakeQueuedRequest(1, 1, 5), 8);
  g_queue->TryPush(MakeQueuedRequest(2, 2, 50), 8);
  cr_assert_eq(g_queue->Pop()->m_request.Get(), 2);
}

Test(WaitQueue, SameCaller_TwoWait_EarlierDeadlineGoesFirst) {
  g_queue->TryPush(MakeQueuedRequest(1, 1, 50), 8);
  g_queue->TryPush(MakeQueuedRequest(2, 1, 5), 8);
  cr_assert_eq(g_queue->Pop()->m_request.Get(), 2);
}

}  // namespace
}  // namespace sorrelplank
