/// @file faults_test.cc Invalid settings, configurations and header fields of
/// callers, and the results of calls to the platform.

#include <criterion/criterion.h>

#include <string>

#include "config/config_parse_func.h"
#include "config/settings_type.h"
#include "platform/platform_client.h"
#include "serve/call_parse_func.h"
#include "tests/node_fixture.h"

namespace sorrelplank {
namespace {

/// An invalid input and text that the reported fault must contain.
struct FaultCase {
  const char* m_text;
  const char* m_expected;
};

TestSuite(Faults);

Test(Faults, Settings_EachFault_NamesPathAndWhatIsAllowed) {
  const std::string required_settings =
      R"("name":"a","place":"p","failure_domain":"d","region":"r",)"
      R"("ip":"127.0.0.1","platform":["127.0.0.2:1"])";
  const FaultCase cases[] = {
      {"{", "is not JSON"},
      {"[]", "is not an object"},
      {R"({"nmae":"a"})", "/nmae: unknown key"},
      {R"({"name":"a","name":"b"})", "stands twice"},
      {R"({"name":""})", "/name: is not accepted"},
      {R"({"ip":"localhost"})", "allowed: an IPv4 address"},
      {R"({"caller_port":0})", "whole number 1 to 65535"},
      {R"({"caller_port":"80"})", "/caller_port: is not accepted"},
      {R"({"caller_port":80.5})", "/caller_port: is not accepted"},
      {R"({"platform":[]})", "/platform: is not accepted"},
      {R"({"platform":["127.0.0.1"]})", "IP:PORT"},
      {R"({"peers":["127.0.0.1:99999"]})", "/peers: is not accepted"},
      {R"({"timeline_events":1})", "16 to 1000000 events"},
      {R"({"fault_switch":1})", "true or false"},
      {R"({})", "/name: is missing"},
  };
  for (const FaultCase& fault_case : cases) {
    const auto parsed = ParseSettings(fault_case.m_text, "s.json");
    const auto* faults = std::get_if<sorrelplank::Faults>(&parsed);
    cr_assert_not_null(faults, "%s", fault_case.m_text);
    std::string lines;
    for (const Fault& fault : *faults) {
      lines += FormatFault(fault) + "\n";
    }
    cr_assert(lines.find(fault_case.m_expected) != std::string::npos,
              "%s gave %s", fault_case.m_text, lines.c_str());
  }
  cr_assert(std::holds_alternative<Settings>(
      ParseSettings("{" + required_settings + "}", "s.json")));
}

Test(Faults, Config_EachFault_NamesFileAndPath) {
  const FaultCase cases[] = {
      {R"({"palces":{}})", "/palces: unknown section"},
      {R"({"places":{"n1":{"leaving":"yes"}}})", "true or false"},
      {R"({"places":{"x y":{}}})", "is no name"},
      {R"({"places":{"n9":{"shift_cap_rps":1}}})",
       "/places/n9/failure_domain: is missing"},
      {R"({"places":{"n1":{"failure_domain":"gone"}}})", "refers to nothing"},
      {R"({"backend_servers":{"r-n1":{"slots":0}}})", "whole number 1 to"},
      {R"({"backend_servers":{"r-n1":{"ip":"127.0.1.2"}}})",
       "stands at the address of"},
      {R"({"client_blocks":{"10.1.2.3/16":"n1"}})", "is no client block"},
      {R"({"client_blocks":{"10.9.0.0/16":"gone"}})", "refers to nothing"},
      {R"({"links":{"l":{"regions":["north","north"],"cap_rps":1}}})",
       "two different names"},
      {R"({"shifts":{"s":{"from":"n1","to":"n1","percent":5}}})",
       "moves callers to where they are"},
      {R"({"shifts":{"s":{"from":"n1","to":"n2","percent":60},
                     "t":{"from":"n1","to":"s1","percent":60}}})",
       "add up to too much"},
      {R"({"policy":{"latency_weight":2}})", "number 0 to 1"},
      {R"({"services":{"read":null}})", "is not an object"},
  };
  for (const FaultCase& fault_case : cases) {
    const auto parsed = ParseConfig(
        {{"10.json", SmallConfig()}, {"20.json", fault_case.m_text}},
        ConfigVersion(1));
    const auto* faults = std::get_if<sorrelplank::Faults>(&parsed);
    cr_assert_not_null(faults, "%s", fault_case.m_text);
    const std::string line = FormatFault(faults->front());
    cr_assert(line.find(fault_case.m_expected) != std::string::npos,
              "%s gave %s", fault_case.m_text, line.c_str());
  }
}

Test(Faults, Config_TwoFaultyFiles_BothAreReported) {
  const auto parsed = ParseConfig(
      {{"10.json", "{"}, {"20.json", R"({"x":{}})"}}, ConfigVersion(1));
  cr_assert_eq(std::get<sorrelplank::Faults>(parsed).size(), 2);
}

Test(Faults, CallHeaders_EachFault_IsRefused) {
  const std::pair<const char*, const char*> cases[] = {
      {"sorrelplank-deadline-ms", "0"},
      {"sorrelplank-deadline-ms", "abc"},
      {"sorrelplank-deadline-ms", "600001"},
      {"sorrelplank-key", ""},
      {"sorrelplank-key", "has space"},
      {"sorrelplank-tried", "vm"},
      {"sorrelplank-tried", "vm@x"},
      {"sorrelplank-tried", "@1"},
      {"sorrelplank-tried", ""},
      {"sorrelplank-client", "somebody"},
  };
  for (const auto& [name, value] : cases) {
    HttpRequest request;
    request.m_path = "/v1/call/read/x";
    request.m_headers[name] = value;
    cr_assert(std::holds_alternative<MalformedCall>(ParseCall(request)),
              "%s: %s", name, value);
  }
  HttpRequest nameless;
  nameless.m_path = "/v1/call/";
  cr_assert(std::holds_alternative<MalformedCall>(ParseCall(nameless)));
}

Test(Faults, CallHeaders_Valid_AreParsed) {
  HttpRequest request;
  request.m_path = "/v1/call/read/a/b";
  request.m_raw_query = "c=d";
  request.m_headers["sorrelplank-tried"] = "vm-1@17,vm-2@3";
  request.m_headers["sorrelplank-deadline-ms"] = "250";
  const auto parsed = std::get<ParsedCall>(ParseCall(request));
  cr_assert_eq(parsed.m_backend_path, "/a/b?c=d");
  cr_assert_eq(std::get<TriedList>(parsed.m_call.m_tried).size(), 2);
  cr_assert(*parsed.m_call.m_time_left == milliseconds(250));
}

// An outcome must not claim more than is certain: a write that may have reached
// the store is unknown, not unavailable.
Test(Faults, PlatformResponses_EachFetchOutcome_MapsToPlatformOutcome) {
  struct Row {
    FetchOutcome m_end;
    int m_status;
    bool m_is_write;
    PlatformOutcome m_expected;
  };
  const Row rows[] = {
      {FetchOutcome::kConnectFailed, 0, true, PlatformOutcome::kUnavailable},
      {FetchOutcome::kNothingSent, 0, true, PlatformOutcome::kUnavailable},
      {FetchOutcome::kSentPartly, 0, true, PlatformOutcome::kUnknown},
      {FetchOutcome::kNoAnswer, 0, true, PlatformOutcome::kUnknown},
      {FetchOutcome::kTimedOut, 0, true, PlatformOutcome::kUnknown},
      {FetchOutcome::kTimedOut, 0, false, PlatformOutcome::kUnavailable},
      {FetchOutcome::kTruncated, 0, true, PlatformOutcome::kUnknown},
      {FetchOutcome::kAnswered, 200, true, PlatformOutcome::kDone},
      {FetchOutcome::kAnswered, 410, false, PlatformOutcome::kUnavailable},
      {FetchOutcome::kAnswered, 404, false, PlatformOutcome::kMissing},
      {FetchOutcome::kAnswered, 412, true, PlatformOutcome::kConflict},
      {FetchOutcome::kAnswered, 429, true, PlatformOutcome::kUnavailable},
      {FetchOutcome::kAnswered, 500, true, PlatformOutcome::kUnknown},
      {FetchOutcome::kAnswered, 503, true, PlatformOutcome::kUnavailable},
  };
  for (const Row& row : rows) {
    HttpResult result;
    result.m_end = row.m_end;
    result.m_response.m_status = row.m_status;
    const auto end = platform::ClassifyStoreResponse(result);
    cr_assert(ToPlatformOutcome(end, row.m_is_write) == row.m_expected,
              "end %d status %d", static_cast<int>(row.m_end), row.m_status);
  }
}

}  // namespace
}  // namespace sorrelplank
