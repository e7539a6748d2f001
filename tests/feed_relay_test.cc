/// @file feed_relay_test.cc Followers' queries to a relay, and their encoding
/// on the wire.

#include "platform/feed_relay.h"

#include <criterion/criterion.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "platform/decode_func.h"

namespace sorrelplank::platform {
namespace {

/// A relay that has just read all keys, at revision 10.
struct RelayFixture {
  StoreMirror m_mirror;
  FeedRelay m_relay{m_mirror};
  TimePoint m_now{seconds(5)};
  std::vector<FeedReply> m_answers;

  RelayFixture() { m_relay.Activate(Revision(10), m_now, m_now); }

  void Query(uint64_t after, Duration wait) {
    m_relay.Query(
        {Revision(after), wait},
        [this](const FeedReply& reply) { m_answers.push_back(reply); }, m_now);
  }

  void AddEvent(uint64_t revision) {
    StoreReadResult read;
    read.m_end = StoreOutcome::kDone;
    read.m_revision = Revision(revision);
    read.m_items.push_back({"op/config", "v" + std::to_string(revision),
                            Revision(revision), false});
    m_relay.Add(read, m_now, m_now);
  }
};

std::unique_ptr<RelayFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<RelayFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(FeedRelay, .init = SetUp, .fini = TearDown);

Test(FeedRelay, Query_NothingNew_WaitsForTheNextEvent) {
  g_fixture->Query(10, seconds(1));
  cr_assert(g_fixture->m_answers.empty());
  g_fixture->AddEvent(11);
  cr_assert_eq(g_fixture->m_answers.size(), 1U);
  cr_expect_eq(g_fixture->m_answers[0].m_batch->Events().size(), 1U);
  cr_expect_eq(g_fixture->m_answers[0].m_revision.Get(), 11U);
}

Test(FeedRelay, Query_NothingNew_IsAnsweredWhenItsTimeIsOver) {
  g_fixture->Query(10, seconds(1));
  g_fixture->m_now += seconds(1);
  g_fixture->m_relay.Tick(g_fixture->m_now);
  cr_assert_eq(g_fixture->m_answers.size(), 1U);
  cr_expect(g_fixture->m_answers[0].m_batch->Events().empty());
  cr_expect_eq(g_fixture->m_answers[0].m_age, Duration(seconds(1)));
  cr_expect_eq(g_fixture->m_answers[0].m_held, Duration(seconds(1)));
}

// A follower that has read later than its relay is ahead of it. It must neither
// get old events as new ones nor be told that it missed any.
Test(FeedRelay, FollowerAhead_Asks_GetsNothingOld) {
  g_fixture->Query(20, Duration::zero());
  cr_assert_eq(g_fixture->m_answers.size(), 1U);
  cr_expect_eq(static_cast<int>(g_fixture->m_answers[0].m_end),
               static_cast<int>(FeedOutcome::kDone));
  cr_expect(g_fixture->m_answers[0].m_batch->Events().empty());
}

// A follower that is further behind than the relay's log must read the store: a
// removal may be missing from the remaining events.
Test(FeedRelay, FollowerFarBehind_Asks_IsSentToTheStore) {
  g_fixture->Query(9, seconds(1));
  cr_assert_eq(g_fixture->m_answers.size(), 1U);
  cr_expect_eq(static_cast<int>(g_fixture->m_answers[0].m_end),
               static_cast<int>(FeedOutcome::kHistoryGone));
}

// More events arrive than a relay retains. Queries for discarded events are
// sent to the store, and the latest events are still available.
Test(FeedRelay, Events_MoreThanIsKept_OldOnesAreDropped) {
  FeedLog log;
  log.Restart(Revision(0));
  for (uint64_t revision = 1; revision <= 100; ++revision) {
    log.Add({{"key", std::string(64U << 10U, 'x'), Revision(revision), false}},
            Revision(revision));
  }
  cr_expect_null(log.EventsAfter(Revision(1)));
  const EventBatchPtr latest = log.EventsAfter(Revision(98));
  cr_assert_not_null(latest);
  cr_expect_eq(latest->Events().size(), 2U);
}

// The store becomes unreachable while a query is held. If the query stayed
// held, the follower would take the relay for one without changes.
Test(FeedRelay, StoreLost_QueryHeld_IsAnsweredAtOnce) {
  g_fixture->Query(10, seconds(1));
  g_fixture->m_relay.SetLost(g_fixture->m_now);
  cr_assert_eq(g_fixture->m_answers.size(), 1U);
  cr_expect(g_fixture->m_answers[0].m_is_store_lost);
  g_fixture->m_now += seconds(2);
  g_fixture->AddEvent(11);
  g_fixture->m_now += milliseconds(300);
  g_fixture->Query(10, Duration::zero());
  cr_expect_not(g_fixture->m_answers[1].m_is_store_lost);
  cr_expect_eq(*g_fixture->m_answers[1].m_time_since_outage,
               Duration(milliseconds(300)));
}

Test(FeedRelay, RelayFollowsAnother_Query_IsRefused) {
  g_fixture->Query(10, seconds(1));
  g_fixture->m_relay.Deactivate(g_fixture->m_now);
  g_fixture->Query(10, seconds(1));
  cr_assert_eq(g_fixture->m_answers.size(), 2U);
  for (const FeedReply& reply : g_fixture->m_answers) {
    cr_expect_eq(static_cast<int>(reply.m_end),
                 static_cast<int>(FeedOutcome::kNoRelay));
  }
}

// Anybody may write arbitrary bytes under any key; they must be passed on
// unchanged.
Test(FeedRelay, Reply_ArbitraryBytes_ArriveAsSent) {
  FeedReply reply;
  reply.m_end = FeedOutcome::kDone;
  reply.m_revision = Revision(12);
  reply.m_age = milliseconds(250);
  reply.m_held = milliseconds(120);
  reply.m_is_store_lost = true;
  reply.m_time_since_outage = Duration::zero();
  const StoreItem sent{"k\xff", std::string("\0\x80\xff", 3), Revision(12),
                       true};
  reply.m_batch =
      std::make_shared<const EventBatch>(std::vector<StoreItem>{sent});
  HttpResult result;
  result.m_end = FetchOutcome::kAnswered;
  result.m_response = EncodeFeedReply(reply);
  const FeedReply read = DecodeFeedReply(result);
  const auto& events = read.m_batch->Events();
  cr_assert_eq(events.size(), 1U);
  cr_expect_eq(events[0].m_key, sent.m_key);
  cr_expect_eq(events[0].m_value, sent.m_value);
  cr_expect(events[0].m_removed);
  cr_expect_eq(read.m_age, reply.m_age);
  cr_expect_eq(read.m_held, reply.m_held);
  cr_expect(read.m_is_store_lost);
  cr_expect(read.m_time_since_outage.has_value());
}

// A truncated or randomly corrupted reply counts as no reply. It must not end
// the process, and a truncated one must not be used.
Test(FeedRelay, Reply_TruncatedOrCorrupted_NeverEndsTheProcess) {
  FeedReply reply;
  reply.m_end = FeedOutcome::kDone;
  reply.m_revision = Revision(12);
  reply.m_batch = std::make_shared<const EventBatch>(
      std::vector<StoreItem>{{"op/config", "value", Revision(12), false}});
  HttpResult result;
  result.m_end = FetchOutcome::kAnswered;
  result.m_response = EncodeFeedReply(reply);
  const std::string whole = result.m_response.m_body;
  std::minstd_rand random(1);
  for (int round = 0; round < 20000; ++round) {
    result.m_response.m_body = whole.substr(0, random() % (whole.size() + 1));
    for (char& byte : result.m_response.m_body) {
      if (random() % 4 == 0) {
        byte = static_cast<char>(random());
      }
    }
    DecodeFeedReply(result);
  }
  result.m_end = FetchOutcome::kTruncated;
  result.m_response.m_body = whole;
  cr_expect_eq(static_cast<int>(DecodeFeedReply(result).m_end),
               static_cast<int>(FeedOutcome::kUnanswered));
}

// Guards against a relay whose work and memory grow with the number of
// followers times the size of the events.
Test(FeedRelay, ManyFollowers_SameEvents_AreCopiedAndPackedOnce) {
  for (const size_t followers : {10U, 20U, 40U}) {
    RelayFixture relay;
    for (size_t follower = 0; follower < followers; ++follower) {
      relay.Query(10, seconds(1));
    }
    StoreReadResult read;
    read.m_end = StoreOutcome::kDone;
    for (uint64_t number = 11; number <= 110; ++number) {
      read.m_items.push_back({"servers/i-" + std::to_string(number),
                              R"({"Service":"s","Zone":"d1","Slots":5})",
                              Revision(number), false});
    }
    read.m_revision = Revision(110);
    relay.m_relay.Add(read, relay.m_now, relay.m_now);
    cr_assert_eq(relay.m_answers.size(), followers);
    cr_expect_eq(relay.m_relay.EventsCopied(), 100U);
    const std::string& packed = relay.m_answers.front().m_batch->Packed();
    cr_expect_leq(packed.size(), 100U * 25);
    for (const FeedReply& reply : relay.m_answers) {
      cr_expect_eq(reply.m_batch.get(), relay.m_answers.front().m_batch.get());
    }
  }
}

Test(FeedRelay, Query_EncodedAndDecoded_IsTheSameOrRejected) {
  HttpRequest request;
  request.m_path = "/v2/feed";
  request.m_raw_query =
      EncodeFeedQuery({Revision(77), milliseconds(625)}).substr(9);
  const FeedQuery query = DecodeFeedQuery(request);
  cr_expect_eq(query.m_after.Get(), 77U);
  cr_expect_eq(query.m_wait, Duration(milliseconds(625)));
  for (const char* query :
       {"", "behind=1", "behind=x&wait_ms=1", "behind=-1&wait_ms=1",
        "behind=1&wait_ms=99999999999999999999", "behind=1&wait_ms=60001"}) {
    request.m_raw_query = query;
    cr_expect_throw(DecodeFeedQuery(request), DecodeError, "%s", query);
  }
}

}  // namespace
}  // namespace sorrelplank::platform
