/// @file crash_record_writer_test.cc Writing crash records to the store, and
/// decoding them.

#include "platform/crash_record_writer.h"

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

/// A store that answers every call with one status and records the calls.
struct WriterFixture {
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
  std::unique_ptr<CrashRecordWriter> m_writer;

  WriterFixture() {
    cr_assert_eq(pipe(m_pipe), 0);
    m_log = std::make_unique<DecisionLog>("vm", m_pipe[1]);
    m_writer =
        std::make_unique<CrashRecordWriter>(m_io, m_client, *m_log, "vm");
  }
  ~WriterFixture() {
    m_writer.reset();
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  void RecordCrash(const std::string& run) {
    m_writer->Record(CrashReport{{kDigest, run}, {}, "s", "h", "/read/x"});
  }
  void RunUntilCalls(size_t count) {
    while (m_calls.size() < count) {
      cr_assert_gt(m_io.run_one(), 0, "no more handlers to run");
    }
    m_io.poll();
  }
};

// A server crashes while it runs a dozen requests of this VM.
Test(CrashRecordWriter, SeveralCrashes_AtOnce_ShareOneCall) {
  WriterFixture fixture;
  fixture.RecordCrash("a");
  fixture.RecordCrash("b");
  fixture.RecordCrash("a");
  fixture.RunUntilCalls(1);
  cr_assert_eq(fixture.m_calls[0]["Put"].size(), 2);
  cr_assert_eq(fixture.m_calls[0]["Put"][0]["Lease"], 0);
  cr_assert_eq(fixture.m_writer->Pending(), 0);
}

// The store refuses calls for a while; the records must be written once it has
// recovered.
Test(CrashRecordWriter, StoreRefuses_Crashes_AreWrittenLater) {
  WriterFixture fixture;
  fixture.m_status = 503;
  fixture.RecordCrash("a");
  fixture.RunUntilCalls(1);
  fixture.m_status = 200;
  fixture.RecordCrash("b");
  fixture.RunUntilCalls(2);
  cr_assert_eq(fixture.m_calls[1]["Put"].size(), 2);
}

// The request is answered before its crash record has been written.
Test(CrashRecordWriter, Answered_BeforeTheCall_KeyIsRemoved) {
  WriterFixture fixture;
  fixture.RecordCrash("a");
  fixture.m_writer->Record(CrashesDropped{{{kDigest, "a"}}, "answered"});
  fixture.RunUntilCalls(1);
  cr_assert(fixture.m_calls[0]["Put"].empty());
  cr_assert_eq(fixture.m_calls[0]["Remove"].size(), 1);
}

Test(CrashRecordWriter, ManyCrashes_MemoryAndCallSize_AreBounded) {
  WriterFixture fixture;
  for (int number = 0; number < 5000; ++number) {
    fixture.RecordCrash(std::to_string(number));
  }
  cr_assert_leq(fixture.m_writer->Pending(), 256);
  fixture.RunUntilCalls(1);
  cr_assert_leq(fixture.m_calls[0]["Put"].size(), 32);
}

Test(CrashRecordWriter, KeyAndValue_EncodedAndDecoded_AreTheSame) {
  const CrashRecord record{kDigest, "i-1@1700000000000"};
  cr_assert(DecodeCrashKey(CrashKey(record)) == record);
  const std::string value =
      EncodeStoredCrash({{record,
                          {.m_under_way = milliseconds(60)},
                          "s",
                          "h",
                          std::string(500, 'x') + "\xff"},
                         "vm",
                         milliseconds(1700)});
  const CrashSighting sighting = DecodeCrashSighting(value, milliseconds(2000));
  cr_assert_eq(sighting.m_age, milliseconds(300));
  cr_assert_eq(sighting.m_under_way, milliseconds(60));
  cr_assert_eq(sighting.m_observer, "vm");
  cr_assert_lt(value.size(), 400);
}

Test(CrashRecordWriter, ForeignKeyOrValue_Decoding_Throws) {
  cr_assert_throw(DecodeCrashKey("crashes/12/a"), DecodeError);
  cr_assert_throw(DecodeCrashKey("crashes/" + std::string(32, '0') + "/"),
                  DecodeError);
  constexpr milliseconds kNow(1000);
  cr_assert_throw(DecodeCrashSighting("{", kNow), DecodeError);
  cr_assert_throw(DecodeCrashSighting(R"({"noted_unix_ms":"x"})", kNow),
                  DecodeError);
}

}  // namespace
}  // namespace sorrelplank::platform
