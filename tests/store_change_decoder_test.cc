/// @file store_change_decoder_test.cc Decoding store changes and applying them
/// to request steering.

#include "platform/store_change_decoder.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <asio.hpp>
#include <memory>
#include <string>

#include "platform/decode_func.h"
#include "proxy/decision_log.h"
#include "proxy/proxy_metrics.h"
#include "proxy/request_proxy.h"

namespace sorrelplank::platform {
namespace {

/// A decoder whose steering has received nothing yet.
struct DecoderFixture {
  asio::io_context m_io{1};
  int m_pipe[2] = {-1, -1};
  std::unique_ptr<DecisionLog> m_log;
  ProxyMetrics m_metrics{"vm-1"};
  std::unique_ptr<RequestProxy> m_proxy;
  std::unique_ptr<StoreChangeDecoder> m_change_decoder;
  int m_own_removals = 0;
  TimePoint m_now{seconds(1)};
  uint64_t m_revision = 0;

  DecoderFixture() {
    cr_assert_eq(pipe(m_pipe), 0);
    m_log = std::make_unique<DecisionLog>("vm-1", m_pipe[1]);
    SteeringSettings settings;
    settings.m_vm = "vm-1";
    settings.m_failure_domain = "d1";
    settings.m_region = "r1";
    settings.m_regions = {{"d1", "r1"}};
    m_proxy = std::make_unique<RequestProxy>(m_io, settings, ProxyHeaderNames(),
                                             *m_log, m_metrics);
    m_change_decoder = std::make_unique<StoreChangeDecoder>(
        *m_proxy, *m_log, "fleet/vm-1", [this] { ++m_own_removals; });
  }

  ~DecoderFixture() {
    m_proxy.reset();
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  void Put(const std::string& key, const std::string& value) {
    m_change_decoder->Apply({{key, value, Revision(++m_revision), false}},
                            m_now);
  }

  void Remove(const std::string& key) {
    m_change_decoder->Apply({{key, "", Revision(++m_revision), true}}, m_now);
  }

  void PutConfig(const std::string& version) {
    Put("op/config", R"({"Version":")" + version +
                         R"(","Routes":{"Columns":[],"Rows":[]},
                             "Services":{"Columns":[],"Rows":[]}})");
  }

  void PutValidServer(const std::string& instance) {
    Put("servers/" + instance,
        R"({"Service":"s","Address":"1.2.3.4:80","Zone":"d1","Version":"v1",
            "Slots":2,"State":"ready","ColdLeftS":0,"Sequence":1,
            "born":1792250284924})");
  }

  size_t Servers() const { return m_proxy->GetSteering().ServerCount(); }

  uint64_t Version() const { return m_proxy->GetSteering().Table()->m_version; }
};

/// What the decoder has logged.
std::string ReadLog(DecoderFixture& fixture) {
  std::string text;
  char buffer[4096];
  fixture.m_log->Flush();
  fcntl(fixture.m_pipe[0], F_SETFL, O_NONBLOCK);
  ssize_t bytes = read(fixture.m_pipe[0], buffer, sizeof(buffer));
  while (bytes > 0) {
    text.append(buffer, static_cast<size_t>(bytes));
    bytes = read(fixture.m_pipe[0], buffer, sizeof(buffer));
  }
  return text;
}

std::unique_ptr<DecoderFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<DecoderFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(StoreChangeDecoder, .init = SetUp, .fini = TearDown);

// An accepted configuration must never be replaced by an older version, a
// damaged one, or a removal.
Test(StoreChangeDecoder, Config_OlderOrDamagedOrRemoved_NewestStays) {
  g_fixture->PutConfig("r7");
  g_fixture->PutConfig("r5");
  cr_assert_eq(g_fixture->Version(), 7);
  g_fixture->Put("op/config", "{");
  cr_assert_eq(g_fixture->Version(), 7);
  g_fixture->Remove("op/config");
  cr_assert_eq(g_fixture->Version(), 7);
  g_fixture->PutConfig("r12");
  cr_assert_eq(g_fixture->Version(), 12);
}

Test(StoreChangeDecoder, Server_DamagedEntry_IsLeftOut) {
  g_fixture->PutValidServer("i-1");
  g_fixture->Put("servers/i-2", R"({"Service":"s","Address":"nowhere",
                                    "Zone":"d1"})");
  cr_assert_eq(g_fixture->m_proxy->GetSteering().ServerCount(), 1);
  g_fixture->Remove("servers/i-1");
  cr_assert_eq(g_fixture->m_proxy->GetSteering().ServerCount(), 0);
}

// Something else overwrites the entry of a known server. The server must be
// dropped, the other servers stay, and a valid entry brings it back.
Test(StoreChangeDecoder,
     KnownServer_EntryOverwritten_IsDroppedUntilValidAgain) {
  g_fixture->PutValidServer("i-1");
  g_fixture->PutValidServer("i-2");
  for (const char* text :
       {"", "\xff\xfe\x01", "[]", R"({"State":"ready"})",
        R"({"Service":"s","Address":"1.2.3.4:80","Zone":"d1","Version":"v1",
            "Slots":"2","State":"ready","ColdLeftS":0,"Sequence":1})",
        R"({"Service":"s","Address":"1.2.3.4:80","Zone":"d1","Version":"v1",
            "Slots":2,"State":"resting","ColdLeftS":0,"Sequence":1})"}) {
    g_fixture->Put("servers/i-1", text);
    cr_assert_eq(g_fixture->Servers(), 1, "after %s", text);
    g_fixture->PutValidServer("i-1");
    cr_assert_eq(g_fixture->Servers(), 2);
  }
}

Test(StoreChangeDecoder, OwnEntry_Removed_IsReported) {
  const FleetMember own{"vm-1", "10.0.0.1:80", "d1", "r1"};
  g_fixture->Put("fleet/vm-1", EncodeMember(own));
  cr_assert_eq(g_fixture->m_change_decoder->Fleet().size(), 1);
  g_fixture->Remove("fleet/vm-1");
  cr_assert_eq(g_fixture->m_own_removals, 1);
  cr_assert(g_fixture->m_change_decoder->Fleet().empty());
}

Test(StoreChangeDecoder, Evacuation_PutAndRemoved_IsFollowed) {
  g_fixture->Put("op/evacuate/d1", "{}");
  cr_assert(g_fixture->m_proxy->GetSteering().Picker().IsEvacuated("d1"));
  g_fixture->Remove("op/evacuate/d1");
  cr_assert_not(g_fixture->m_proxy->GetSteering().Picker().IsEvacuated("d1"));
}

// An entry of another writer with texts of 700 KB: its log line was as long,
// and the lines after it were dropped.
Test(StoreChangeDecoder, ForeignEntryWithLongTexts_LaterLogLinesAreKept) {
  const std::string long_text(700'000, 'x');
  for (const std::string& text :
       {R"({"Service":"s","Zone":"d1","Slots":2,"State":")" + long_text + "\"}",
        R"({"Service":")" + long_text + R"(","Address":"1.2.3.4:80",
            "Zone":"d1","Version":"v1","Slots":2,"State":"ready",
            "ColdLeftS":0,"Sequence":1})",
        '"' + long_text + "\x01\""}) {
    g_fixture->Put("servers/foreign", text);
    g_fixture->PutValidServer("i-1");
    const std::string lines = ReadLog(*g_fixture);
    cr_expect_eq(g_fixture->m_log->Dropped(), 0);
    cr_expect(lines.find(R"("server":"i-1")") != std::string::npos,
              "%zu bytes logged", lines.size());
  }
}

}  // namespace
}  // namespace sorrelplank::platform
