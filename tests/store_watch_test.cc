/// @file store_watch_test.cc Following the store through its failures.

#include "platform/store_watch.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <asio.hpp>
#include <map>
#include <memory>
#include <string>

#include "net/http_client.h"
#include "platform/decode_func.h"
#include "platform/feed_client.h"
#include "platform/registration.h"
#include "platform/store_client.h"
#include "proxy/decision_log.h"
#include "tests/served_store.h"

namespace sorrelplank::platform {
namespace {

/// A stand-in store and a watch on it over loopback.
struct WatchFixture : ServedStore {
  HttpClient m_http{m_io};
  StoreClient m_client{
      VmAddress{asio::ip::address_v4::loopback().to_uint(), m_port},
      [this](HttpFetch fetch, std::function<void(HttpResult)> done) {
        m_http.Start(std::move(fetch), std::move(done));
      }};
  FeedClient m_feed{
      [this](HttpFetch fetch, std::function<void(HttpResult)> done) {
        m_http.Start(std::move(fetch), std::move(done));
      }};
  int m_pipe[2] = {-1, -1};
  std::unique_ptr<DecisionLog> m_log;
  std::map<std::string, std::string> m_seen;
  std::unique_ptr<StoreWatch> m_watch;

  WatchFixture() {
    cr_assert_eq(pipe(m_pipe), 0);
    m_log = std::make_unique<DecisionLog>("vm", m_pipe[1]);
    m_watch = std::make_unique<StoreWatch>(
        m_io, m_client, m_feed, *m_log,
        StoreFollower::Options{
            .m_max_lag = seconds(2),
            .m_domain_prefix = "fleet/d1/",
            .m_find_relays =
                [](const std::vector<StoreItem>&) { return RelayChoice(); }},
        [this](const StoreMirror::Changes& changes) {
          for (const StoreItem& item : changes) {
            if (item.m_removed) {
              m_seen.erase(item.m_key);
            } else {
              m_seen[item.m_key] = item.m_value;
            }
          }
        });
  }

  ~WatchFixture() {
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  void Put(const std::string& key, const std::string& value) {
    bool is_done = false;
    m_client.Put(key, value, LeaseId(), [&](StoreOutcome) { is_done = true; });
    RunUntil([&] { return is_done; });
  }

  void SetFaults(const std::string& faults) {
    HttpRequest request;
    request.m_path = "/v1/fault";
    request.m_body = faults;
    m_store.Serve(request, [](const HttpResponse&) {});
  }

  bool Sees(const std::string& key, const std::string& value) const {
    const auto it = m_seen.find(key);
    return it != m_seen.end() && it->second == value;
  }

  /// If the condition never holds, the test's own time limit ends it.
  template <typename Condition>
  void RunUntil(const Condition& is_done) {
    m_io.restart();
    while (!is_done()) {
      m_io.run_one();
    }
  }
};

std::unique_ptr<WatchFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<WatchFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(StoreWatch, .init = SetUp, .fini = TearDown, .timeout = 60);

// Every change wakes every VM, and each call is charged. Large fleets coalesce
// changes for longer, but never so long that the allowed time leaves no room
// for a failed call.
Test(StoreWatch, Coalescing_FleetGrows_StaysWithinTheAllowedLag) {
  cr_assert_lt(CoalesceDelay(8, false, milliseconds(2500)), milliseconds(300));
  cr_assert_eq(CoalesceDelay(84, false, seconds(4)),
               Duration(milliseconds(1600)));
  cr_assert_eq(CoalesceDelay(710, false, seconds(3)),
               Duration(milliseconds(1200)));
}

// A follower learns of a change after its relay's coalescing delay and, if the
// relay has fallen silent, after the relay's wait plus the timeout margin.
// Together with one failed call, this must fit into the allowed time.
Test(StoreWatch, Coalescing_ByRelays_LeavesTimeForARelayFailure) {
  for (const Duration lag : {milliseconds(2500), milliseconds(4000)}) {
    const Duration coalesce_delay = CoalesceDelay(710, true, lag);
    const Duration relay_failure = RelayPollWait(lag) + milliseconds(300);
    const Duration call_failure = milliseconds(800);
    cr_assert_leq(relay_failure, lag / 2);
    cr_assert_leq(coalesce_delay + relay_failure + call_failure, lag);
  }
}

Test(StoreWatch, ManyKeys_MoreThanAPage_AreAllRead) {
  for (int number = 0; number < 120; ++number) {
    g_fixture->Put("servers/i-" + std::to_string(number), "x");
  }
  g_fixture->m_watch->Start();
  g_fixture->RunUntil([] { return g_fixture->m_seen.size() == 120; });
}

Test(StoreWatch, Change_AfterStart_IsSeen) {
  g_fixture->m_watch->Start();
  g_fixture->RunUntil(
      [] { return !g_fixture->m_watch->Follower().IsLoading(); });
  g_fixture->Put("op/config", "new");
  g_fixture->RunUntil([] { return g_fixture->Sees("op/config", "new"); });
}

// The store discards its history while a change is made: the watch reports that
// it cannot continue, and everything is read again.
Test(StoreWatch, HistoryDiscarded_ChangeMissed_IsReadAgain) {
  g_fixture->Put("op/config", "old");
  g_fixture->m_watch->Start();
  g_fixture->RunUntil([] { return g_fixture->Sees("op/config", "old"); });
  g_fixture->SetFaults(R"({"forget_history":true})");
  g_fixture->Put("op/config", "new");
  g_fixture->SetFaults(R"({"forget_history":true})");
  g_fixture->RunUntil([] { return g_fixture->Sees("op/config", "new"); });
}

// Another writer's values together exceed the largest response to a watch. The
// VM asked for them again and again, and learned of no later change.
Test(StoreWatch, ForeignValuesExceedAResponse_LaterChange_IsSeenInTime) {
  constexpr auto kCatchUpTime = seconds(4);
  g_fixture->Put("op/config", "old");
  g_fixture->m_watch->Start();
  g_fixture->RunUntil([] { return g_fixture->Sees("op/config", "old"); });
  for (int number = 0; number < 6; ++number) {
    g_fixture->m_store.PutText("servers/foreign-" + std::to_string(number),
                               std::string(1'000'000, 'x'));
  }
  g_fixture->m_store.PutText("op/config", "new");
  bool is_over = false;
  asio::steady_timer timer(g_fixture->m_io, kCatchUpTime);
  timer.async_wait([&](std::error_code) { is_over = true; });
  g_fixture->RunUntil(
      [&] { return is_over || g_fixture->Sees("op/config", "new"); });
  cr_assert(g_fixture->Sees("op/config", "new"));
}

// Another writer's large values were kept by every VM, and took it over its
// memory. The configuration may be large.
Test(StoreWatch, ForeignValuesAreLarge_AllKeys_LittleOfThemIsKept) {
  const std::string config(900'000, 'c');
  g_fixture->m_store.PutText("op/config", config);
  for (int number = 0; number < 20; ++number) {
    for (const char* prefix : {"servers/f-", "fleet/f-", "other/f-"}) {
      g_fixture->m_store.PutText(prefix + std::to_string(number),
                                 std::string(700'000, 'x'));
    }
  }
  g_fixture->m_watch->Start();
  g_fixture->RunUntil([] { return g_fixture->m_seen.size() == 61; });
  g_fixture->m_store.PutText("servers/f-0", std::string(700'001, 'y'));
  g_fixture->RunUntil(
      [] { return g_fixture->m_seen["servers/f-0"].front() == 'y'; });
  size_t bytes = 0;
  for (const auto& [key, value] : g_fixture->m_seen) {
    bytes += value.size();
  }
  cr_expect_leq(bytes, config.size() + 60 * (kMaxEntryBytes + 1), "%zu bytes",
                bytes);
  cr_expect(g_fixture->Sees("op/config", config));
  cr_expect_throw(DecodeServer("f-0", g_fixture->m_seen["servers/f-0"]),
                  DecodeError);
}

// The store does not respond for a second, or refuses every call. Known values
// are kept, and later changes are seen.
Test(StoreWatch, Outage_SilentOrRefusing_ContinuesAfterwards) {
  g_fixture->Put("op/config", "old");
  g_fixture->m_watch->Start();
  g_fixture->RunUntil([] { return g_fixture->Sees("op/config", "old"); });
  for (const char* fault : {R"({"silent_ms":1000})", R"({"refuse_ms":1000})"}) {
    g_fixture->SetFaults(fault);
    bool is_over = false;
    asio::steady_timer timer(g_fixture->m_io, seconds(1));
    timer.async_wait([&](std::error_code) { is_over = true; });
    g_fixture->RunUntil([&] { return is_over; });
    cr_assert(g_fixture->m_seen.contains("op/config"));
    g_fixture->Put("op/config", fault);
    g_fixture->RunUntil([&] { return g_fixture->Sees("op/config", fault); });
  }
}

// The response to every write is lost although the write was done, and some
// writes take effect only later. In the end, the entry must be in the store,
// once.
Test(StoreWatch, Registration_AnswersLost_EntryAppears) {
  g_fixture->m_watch->Start();
  g_fixture->SetFaults(R"({"late_ms":200})");
  Registration registration(g_fixture->m_io, g_fixture->m_client,
                            *g_fixture->m_log, "fleet/vm", "entry", seconds(3));
  registration.Start();
  g_fixture->RunUntil([] { return g_fixture->Sees("fleet/vm", "entry"); });
  g_fixture->SetFaults("{}");
}

// Somebody removes the entry of a live VM: the VM writes it again.
Test(StoreWatch, Registration_EntryRemoved_IsWrittenAgain) {
  Registration registration(g_fixture->m_io, g_fixture->m_client,
                            *g_fixture->m_log, "fleet/vm", "entry", seconds(3));
  g_fixture->m_watch->Start();
  registration.Start();
  g_fixture->RunUntil([] { return g_fixture->Sees("fleet/vm", "entry"); });
  g_fixture->m_client.EndLease(LeaseId(1), [](StoreOutcome) {});
  g_fixture->RunUntil([] { return g_fixture->m_seen.empty(); });
  registration.OnRemoved();
  g_fixture->RunUntil([] { return g_fixture->Sees("fleet/vm", "entry"); });
}

}  // namespace
}  // namespace sorrelplank::platform
