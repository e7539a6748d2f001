/// @file crash_notes_test.cc Facts on their way to the store and back.

#include "platform/crash_notes.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <asio.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/decode_func.h"
#include "platform/store_client.h"
#include "proxy/decision_log.h"

namespace sorrelplank::platform {
namespace {

using nlohmann::json;

constexpr RequestDigest kDigest{.m_high = 7, .m_low = 9};

/// A store that answers with one status, and keeps the calls.
struct NotesFixture {
  asio::io_context m_io{1};
  int m_pipe[2] = {-1, -1};
  std::unique_ptr<DecisionLog> m_log;
  std::vector<json> m_calls;
  int m_status = 200;
  StoreClient m_client{
      VmAddress{},
      [this](HttpFetch fetch, const std::function<void(HttpResult)>& done) {
        m_calls.push_back(json::parse(fetch.m_body));
        HttpResult result;
        result.m_end = FetchOutcome::kAnswered;
        result.m_response.m_status = m_status;
        asio::post(m_io, [done, result] { done(result); });
      }};
  std::unique_ptr<CrashNotes> m_notes;

  NotesFixture() {
    cr_assert_eq(pipe(m_pipe), 0);
    m_log = std::make_unique<DecisionLog>("vm", m_pipe[1]);
    m_notes = std::make_unique<CrashNotes>(m_io, m_client, *m_log, "vm");
  }
  ~NotesFixture() {
    m_notes.reset();
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  void TellEnd(const std::string& run) {
    m_notes->Tell(CrashReport{{kDigest, run}, "s", "h", "/read/x"});
  }
  void RunUntilCalls(size_t count) {
    while (m_calls.size() < count) {
      cr_assert_gt(m_io.run_one(), 0, "nothing left to do");
    }
    m_io.poll();
  }
};

// A server ends while it has a dozen requests of this VM.
Test(CrashNotes, SeveralEnds_InOneMoment_AreOneCall) {
  NotesFixture fixture;
  fixture.TellEnd("a");
  fixture.TellEnd("b");
  fixture.TellEnd("a");
  fixture.RunUntilCalls(1);
  cr_assert_eq(fixture.m_calls[0]["Put"].size(), 2);
  cr_assert_eq(fixture.m_calls[0]["Put"][0]["Lease"], 0);
  cr_assert_eq(fixture.m_notes->Pending(), 0);
}

// The store refuses for a while. What has to be known is told when it is back.
Test(CrashNotes, StoreRefuses_Ends_AreToldLater) {
  NotesFixture fixture;
  fixture.m_status = 503;
  fixture.TellEnd("a");
  fixture.RunUntilCalls(1);
  fixture.m_status = 200;
  fixture.TellEnd("b");
  fixture.RunUntilCalls(2);
  cr_assert_eq(fixture.m_calls[1]["Put"].size(), 2);
}

// The request is answered before its suspicion has reached the store.
Test(CrashNotes, Answered_BeforeTheCall_KeyIsRemoved) {
  NotesFixture fixture;
  fixture.TellEnd("a");
  fixture.m_notes->Tell(CrashesForgotten{{{kDigest, "a"}}, "answered"});
  fixture.RunUntilCalls(1);
  cr_assert(fixture.m_calls[0]["Put"].empty());
  cr_assert_eq(fixture.m_calls[0]["Remove"].size(), 1);
}

Test(CrashNotes, Flood_OfEnds_IsBoundedInMemoryAndCall) {
  NotesFixture fixture;
  for (int number = 0; number < 5000; ++number) {
    fixture.TellEnd(std::to_string(number));
  }
  cr_assert_leq(fixture.m_notes->Pending(), 256);
  fixture.RunUntilCalls(1);
  cr_assert_leq(fixture.m_calls[0]["Put"].size(), 32);
}

Test(CrashNotes, KeyAndValue_ReadAgain_TellTheSame) {
  const CrashFact fact{kDigest, "i-1@1700000000000"};
  cr_assert(DecodeCrashKey(CrashKey(fact)) == fact);
  const std::string value =
      EncodeCrash({{fact, "s", "h", std::string(500, 'x') + "\xff"},
                   "vm",
                   milliseconds(1700)});
  cr_assert_eq(DecodeCrashTime(value), milliseconds(1700));
  cr_assert_lt(value.size(), 400);
}

Test(CrashNotes, ForeignKeyOrValue_Decoding_Throws) {
  cr_assert_throw(DecodeCrashKey("crashes/12/a"), DecodeError);
  cr_assert_throw(DecodeCrashKey("crashes/" + std::string(32, '0') + "/"),
                  DecodeError);
  cr_assert_throw(DecodeCrashTime("{"), DecodeError);
  cr_assert_throw(DecodeCrashTime(R"({"noted_unix_ms":"x"})"), DecodeError);
}

}  // namespace
}  // namespace sorrelplank::platform
