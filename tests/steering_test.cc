/// @file steering_test.cc Decisions on single requests.

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <set>

#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

std::unique_ptr<SteeringFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<SteeringFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(Steering, .init = SetUp, .fini = TearDown);

Test(Steering, Request_NoRoute_Is404) {
  g_fixture->Arrive("/other/");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoRoute);
}

// Guards against a VM that does not know the newest routes and ends requests
// for them with 404, after which callers do not try another VM.
Test(Steering, CutOffFromStore_UnknownRoute_IsRefusedAsRetriable) {
  g_fixture->m_steering.SetDataStale(true);
  g_fixture->Arrive("/added/x");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kTableMayBeOld);
  g_fixture->m_steering.SetDataStale(false);
  g_fixture->Arrive("/added/x");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoRoute);
}

// All weights of a split are zero. The request must still be served.
Test(Steering, Split_AllWeightsZero_IsStillServed) {
  RouteRule route = MakeRoute("/read/", true);
  route.m_shares = {{"s", 0}, {"s", 0}};
  g_fixture->Install(2, {route});
  g_fixture->Arrive("/read/x");
  cr_assert_eq(g_fixture->Count<SendToServer>(), 1);
}

Test(Steering, SameObject_FreeSlots_GoesToTheSameServer) {
  g_fixture->Arrive("/read/x", 5);
  const std::string first = g_fixture->Last<SendToServer>()->m_instance;
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kAnswered);
  g_fixture->Arrive("/read/y", 5);
  cr_assert_str_eq(g_fixture->Last<SendToServer>()->m_instance.c_str(),
                   first.c_str());
}

// Overload: both slots of a server are taken. One more request is sent, so that
// the slot that is freed first is not idle for a round trip; the next one waits
// at the VM, where it can still go to another server.
Test(Steering, ServerFull_TwoMore_OneIsSentAndOneWaits) {
  for (int request = 0; request < 4; ++request) {
    g_fixture->Arrive("/read/x", 5);
  }
  cr_assert_eq(g_fixture->Count<SendToServer>(), 3);
  cr_assert_eq(g_fixture->m_steering.WaitingCount(), 1);
}

// Requests on other objects fill a server. A request arrives for an object that
// this VM has not sent there yet, but other VMs have, so the server has it
// cached. A short wait there is better than 3.3 times the work at the other
// server.
Test(Steering, NewObject_FirstServerBusy_WaitsForIt) {
  uint64_t object = 0;
  while (g_fixture->m_steering.WaitingCount() == 0 && object < 20) {
    g_fixture->Arrive("/read/x", ++object);
  }
  std::map<std::string, int> sends;
  for (const SteerAction& action : g_fixture->m_actions) {
    if (const auto* send = std::get_if<SendToServer>(&action)) {
      ++sends[send->m_instance];
    }
  }
  cr_assert_eq(sends.size(), 2);
  cr_assert(sends["a"] < 2 || sends["b"] < 2,
            "the other server has a free slot");
}

// The connection breaks after the server has received a request that must run
// at most once. The caller must be told that it may have run; it must not be
// sent again.
Test(Steering, Write_ConnectionBroke_IsNotSentAgain) {
  g_fixture->Arrive("/write/x");
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kLost);
  cr_assert_eq(g_fixture->Count<SendToServer>(), 1);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kLost);
}

Test(Steering, Write_Rejected_GoesToTheOtherServer) {
  g_fixture->Arrive("/write/x");
  const std::string first = g_fixture->Last<SendToServer>()->m_instance;
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kRejected);
  cr_assert_eq(g_fixture->Count<SendToServer>(), 2);
  cr_assert_str_neq(g_fixture->Last<SendToServer>()->m_instance.c_str(),
                    first.c_str());
}

// Both servers reject the request, so it certainly did not run; the caller must
// be told so, with a retry time.
Test(Steering, Write_RejectedTwice_IsRefusedAsNotRun) {
  g_fixture->Arrive("/write/x");
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kRejected);
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kRejected);
  cr_assert_eq(DescribeSteerRefusal(g_fixture->LastReason()).m_verdict,
               Verdict::kNotRun);
  cr_assert_gt(g_fixture->Last<RefuseRequest>()->m_retry_after.count(), 0);
}

// The first send is lost and the second one rejected. The rejection says
// nothing about the first, so the caller must not be told "not run".
Test(Steering, Read_LostThenRejected_MayHaveRun) {
  g_fixture->Arrive("/read/x");
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kLost);
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kRejected);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kLost);
}

Test(Steering, Write_ServerError_IsForwarded) {
  g_fixture->Arrive("/write/x");
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kServerError);
  cr_assert_eq(g_fixture->Count<ForwardServerAnswer>(), 1);
}

Test(Steering, Read_NoAnswerUntilTimeout_IsCancelledAnd504) {
  g_fixture->Arrive("/read/x");
  g_fixture->Pass(seconds(3));
  cr_assert_geq(g_fixture->Count<CancelSend>(), 1);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kTimedOut);
}

// The server gives up at the deadline and reports it. A retry would occupy a
// slot of another server for a response that is certainly late, so the caller
// gets this one.
Test(Steering, Read_ErrorAtTheDeadline_IsNotSentAgain) {
  g_fixture->Arrive("/read/x");
  const SendToServer send = *g_fixture->Last<SendToServer>();
  g_fixture->m_now += milliseconds(1990);
  g_fixture->End(send, AttemptEnd::kServerError);
  cr_assert_eq(g_fixture->Count<SendToServer>(), 1);
  cr_assert_eq(g_fixture->Count<ForwardServerAnswer>(), 1);
}

Test(Steering, Client_Leaves_SendIsCancelled) {
  const RequestId id = g_fixture->Arrive("/read/x");
  g_fixture->m_steering.ClientLeft(id, g_fixture->m_now);
  cr_assert_eq(g_fixture->Count<CancelSend>(), 1);
  cr_assert_eq(g_fixture->m_steering.Running(), 0);
}

Test(Steering, Server_Leaves_GetsNothingMore) {
  g_fixture->PutServer("a", "d1", true);
  for (uint64_t object = 0; object < 20; ++object) {
    g_fixture->Arrive("/read/x", object);
    const auto* send = g_fixture->Last<SendToServer>();
    cr_assert_str_eq(send->m_instance.c_str(), "b");
    g_fixture->End(*send, AttemptEnd::kAnswered);
  }
}

Test(Steering, Domain_Evacuated_GetsNothingMore) {
  g_fixture->m_steering.SetEvacuated({"d2"}, g_fixture->m_now);
  for (uint64_t object = 0; object < 20; ++object) {
    g_fixture->Arrive("/read/x", object);
    const auto* send = g_fixture->Last<SendToServer>();
    cr_assert_str_eq(send->m_instance.c_str(), "a");
    g_fixture->End(*send, AttemptEnd::kAnswered);
  }
}

// Both servers of the region stall at once, as when no object is cached yet.
// Nothing proves that they are down; refusing all requests, or moving the whole
// region elsewhere, would be worse than continuing to send to them.
Test(Steering, AllServersEjected_RequestArrives_IsStillSent) {
  for (int round = 0; round < 4; ++round) {
    g_fixture->Arrive("/read/x");
    g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kLost);
    g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kLost);
  }
  const size_t before = g_fixture->Count<SendToServer>();
  g_fixture->Arrive("/read/x");
  cr_assert_eq(g_fixture->Count<SendToServer>(), before + 1);
}

// A recently started server takes 4 requests per second; the limit over all
// entry VMs is 4 x 1.5 + 5 = 11 within any second. This VM must send less than
// half of it, as another one may consider itself the sender too.
Test(Steering, ColdServer_ManyRequests_GetsLessThanHalfOfTheBound) {
  g_fixture->m_steering.RemoveServer("b", g_fixture->m_now);
  g_fixture->PutServer("a", "d1", false, seconds(3));
  const size_t sent = g_fixture->AnswerForOneSecond("/read/x");
  cr_assert_gt(sent, 0);
  cr_assert_leq(sent, 5);
}

// Every server rejects its requests, and the process restarts in between and
// forgets what it spent. The servers count the retries of both runs in one
// window; they must stay within the ratio and the extra.
Test(Steering, RetryBudget_RestartWithinTheWindow_StaysWithinTheBudget) {
  const size_t requests = 100;
  size_t retries = 0;
  for (int run = 0; run < 2; ++run) {
    SteeringFixture fixture;
    for (size_t request = 0; request < requests / 2; ++request) {
      const size_t before = fixture.Count<SendToServer>();
      fixture.Arrive("/read/x", request);
      while (fixture.m_steering.Running() > 0) {
        fixture.End(*fixture.Last<SendToServer>(), AttemptEnd::kRejected);
      }
      const size_t sends = fixture.Count<SendToServer>() - before;
      retries += sends > 1 ? sends - 1 : 0;
      fixture.Pass(milliseconds(80));
    }
  }
  cr_assert_gt(retries, 10);
  cr_assert_leq(retries, requests / 5 + 10, "%zu", retries);
}

// The process is about to exit. A new request on an open connection must be
// refused as not run, so that the client can retry elsewhere. Requests in
// flight are finished.
Test(Steering, Stopping_NewRequest_IsRefusedAsNotRun) {
  g_fixture->Arrive("/write/x");
  g_fixture->m_steering.RefuseNew();
  g_fixture->Arrive("/write/y");
  cr_assert_eq(g_fixture->Count<SendToServer>(), 1);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kStopping);
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kAnswered);
  cr_assert_eq(g_fixture->Count<ForwardServerAnswer>(), 1);
}

// The VM cannot reach the store. A domain is evacuated and its servers become
// cold, which the VM cannot know, so it keeps sending to them. Together with
// the VM that sends to cold servers, and with others that have stale data, it
// must stay below the limit of 11 within any second.
Test(Steering, StaleData_ManyRequests_EachServerGetsAShareOfTheColdLimit) {
  g_fixture->m_steering.RemoveServer("b", g_fixture->m_now);
  g_fixture->m_steering.SetFleet({{"vm-1", "10.0.0.1:80", "d1", "r1"},
                                  {"vm-2", "10.0.0.2:80", "d1", "r1"},
                                  {"vm-3", "10.0.0.3:80", "d2", "r1"},
                                  {"vm-4", "10.0.0.4:80", "d2", "r1"}},
                                 g_fixture->m_now);
  g_fixture->m_steering.SetDataStale(true);
  const size_t sent = g_fixture->AnswerForOneSecond("/read/x");
  cr_assert_gt(sent, 0);
  cr_assert_leq(sent, 2);
}

// A request waits for a slot while operators remove its route. The new table
// must apply to it as to a new request.
Test(Steering, Waiting_RouteRemoved_Is404) {
  for (uint64_t request = 0; request < 5; ++request) {
    g_fixture->Arrive("/read/x", 1);
  }
  cr_assert_gt(g_fixture->m_steering.WaitingCount(), 0);
  g_fixture->Install(2, {MakeRoute("/write/", false)});
  cr_assert_eq(g_fixture->m_steering.WaitingCount(), 0);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoRoute);
}

// Far more requests than slots arrive at once. Some wait, so that they are
// answered within the target latency; the others must be refused at once with
// different retry times.
Test(Steering, Overload_AtOnce_RefusesWithSpreadRetryTimes) {
  std::set<int64_t> retry_times;
  g_fixture->Arrive("/read/x");
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kAnswered);
  for (uint64_t request = 0; request < 40; ++request) {
    g_fixture->Arrive("/read/x", request);
  }
  for (const SteerAction& action : g_fixture->m_actions) {
    if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
      cr_assert_eq(refusal->m_reason, SteerRefusal::kOverloaded);
      retry_times.insert(refusal->m_retry_after.count());
    }
  }
  cr_assert_gt(g_fixture->Count<RefuseRequest>(), 20);
  cr_assert_gt(retry_times.size(), 5);
}

}  // namespace
}  // namespace sorrelplank
