/// @file platform_decode_test.cc Decoding of the platform's values.

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>

#include "config/json_text_func.h"
#include "platform/decode_func.h"
#include "platform/store_client.h"

namespace sorrelplank::platform {
namespace {

using nlohmann::json;

TestSuite(PlatformDecode);

constexpr const char* kConfig = R"({"Version":"r7",
 "Routes":{"Columns":["Name","Host","Prefix","Kind","TimeoutS","TargetLatencyS",
   "Priority","Backends","MaxAttempts","SessionAffinity","HomeRegions",
   "Service","Unknown"],
  "Rows":[["a","h1","/x/","idempotent",2.5,0.4,2,
    [{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],
    2,true,["north"],null,17],
   ["b","h2","/y/","non_idempotent",3,0.4,1,null,2,true,[],"s3",null]]},
 "Services":{"Columns":["Name","HealthPath","MaxConns","ColdStartS","ColdPerS"],
  "Rows":[["s1","/health",330,3.0,7.1]]},
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000,"IdleTimeoutS":15},
 "BaseVersion":"r5"})";

Test(PlatformDecode, Config_ColumnsAndRows_BecomeRoutes) {
  const RoutingTable table = DecodeConfig(kConfig);
  cr_assert_eq(table.m_version, 7);
  cr_assert_eq(table.m_routes.size(), 2);
  const RouteRule& split = table.m_routes[0];
  cr_assert(split.m_idempotent);
  cr_assert_eq(split.m_timeout.count(), 2500000);
  cr_assert_eq(split.m_shares.size(), 2);
  cr_assert_float_eq(split.m_shares[0].m_weight, 90, 1e-9);
  cr_assert_str_eq(split.m_home_regions[0].c_str(), "north");
  const RouteRule& plain = table.m_routes[1];
  cr_assert_not(plain.m_idempotent);
  cr_assert_str_eq(plain.m_shares[0].m_service.c_str(), "s3");
  cr_assert_float_eq(table.m_services.at("s1").m_cold_per_second, 7.1, 1e-9);
  cr_assert_eq(table.m_limits.m_body_bytes, 1000);
}

/// Text that is not a valid configuration.
struct BadConfig {
  const char* m_what;
  const char* m_text;
};

constexpr BadConfig kBadConfigs[] = {
    {"empty", ""},
    {"cut short", R"({"Version":"r7","Routes":{"Columns")"},
    {"no version", R"({"Routes":{"Columns":[],"Rows":[]}})"},
    {"version without tag",
     R"({"Version":"7","Routes":{"Columns":[],"Rows":[]}})"},
    {"version with trailing text",
     R"({"Version":"r7x","Routes":{"Columns":[],"Rows":[]}})"},
    {"rows of the wrong type", R"({"Version":"r7","Routes":{"Columns":["Name"],
      "Rows":[[5]]},"Services":{"Columns":[],"Rows":[]}})"},
    {"a list", "[]"}};

Test(PlatformDecode, Config_Damaged_IsAnError) {
  for (const BadConfig& bad : kBadConfigs) {
    bool is_refused = false;
    try {
      DecodeConfig(bad.m_text);
    } catch (const DecodeError&) {
      is_refused = true;
    }
    cr_assert(is_refused, "%s", bad.m_what);
  }
}

Test(PlatformDecode, Server_Entry_BecomesServer) {
  const ServerEntry server = DecodeServer(
      "i-1", R"({"Service":"s1","Address":"10.128.0.9:8080","Zone":"d1",
                 "Version":"v1","Slots":5,"State":"draining",
                 "ColdLeftS":1.5,"Sequence":4})");
  cr_assert_str_eq(server.m_instance.c_str(), "i-1");
  cr_assert_eq(server.m_slots, 5);
  cr_assert(server.m_leaving);
  cr_assert_eq(server.m_cold_left.count(), 1500000);
  cr_assert_eq(server.m_address.m_port, 8080);
}

Test(PlatformDecode, Server_WithStartTime_IdentifiesItsRun) {
  const ServerEntry server =
      DecodeServer("i-1", R"({"Service":"s","Address":"10.0.0.9:80","Zone":"d1",
                 "Version":"v1","Slots":6,"State":"draining","ColdLeftS":0,
                 "Sequence":4,"born":1792250284924})");
  cr_assert(server.m_leaving);
  cr_assert_eq(server.m_started->count(), 1792250284924);
}

// Something other than a backend server writes under the keys where servers
// register. If wrong fields were decoded as zero values, requests would be sent
// to an invalid address or to a draining server.
Test(PlatformDecode, Server_FieldMissingOrOfWrongType_IsAnError) {
  const nlohmann::json valid = {
      {"Service", "s"},       {"Address", "10.0.0.9:80"},
      {"Zone", "d1"},         {"Version", "v1"},
      {"Slots", 6},           {"State", "ready"},
      {"ColdLeftS", 0.5},     {"Sequence", 4},
      {"born", 1792250284924}};
  cr_assert_eq(DecodeServer("i-1", valid.dump()).m_slots, 6);
  for (const auto& [name, value] : valid.items()) {
    nlohmann::json entry = valid;
    if (name != "born") {
      entry.erase(name);
      cr_assert_throw(DecodeServer("i-1", entry.dump()), DecodeError,
                      "%s is missing", name.c_str());
    }
    for (const nlohmann::json& other :
         {nlohmann::json(nullptr), nlohmann::json(true), nlohmann::json({1}),
          nlohmann::json::object(), nlohmann::json(-1)}) {
      entry[name] = other;
      cr_assert_throw(DecodeServer("i-1", entry.dump()), DecodeError,
                      "%s is %s", name.c_str(), other.dump().c_str());
    }
  }
}

Test(PlatformDecode, Server_InvalidValues_AreErrors) {
  const auto decode = [](const std::string& slots, const std::string& state,
                         const std::string& rest) {
    DecodeServer("i-1", R"({"Service":"s","Address":"10.0.0.9:80","Zone":"d1",
                            "Version":"v1","ColdLeftS":0,"Sequence":4,"Slots":)" +
                            slots + R"(,"State":")" + state + "\"" + rest +
                            "}");
  };
  decode("6", "ready", "");
  cr_assert_throw(decode("6", "asleep", ""), DecodeError);
  cr_assert_throw(decode("0", "ready", ""), DecodeError);
  cr_assert_throw(decode("2.5", "ready", ""), DecodeError);
  cr_assert_throw(decode("6", "ready", R"(,"born":1.5)"), DecodeError);
  cr_assert_throw(decode("6", "ready", R"(,"born":"1792250284924")"),
                  DecodeError);
  for (const char* text : {"", "{", "[]", "7", "\xff\xfe", "null"}) {
    cr_assert_throw(DecodeServer("i-1", text), DecodeError);
  }
}

// One value of a page is not base64. The whole page was dropped and read again
// in a loop, so this VM got no further changes from the store.
Test(PlatformDecode, StoreRead_OneInvalidValue_OthersAreDecoded) {
  HttpResult result;
  result.m_end = FetchOutcome::kAnswered;
  result.m_response.m_body = R"({"items":[
      {"Key":"servers/a","Value":"%%%","Rev":3},
      {"Key":"servers/b","Value":"eHl6","Rev":4}],
      "HasMore":false,"StoreRevision":9})";
  const StoreReadResult read = DecodeRead(result, "items");
  cr_assert_eq(read.m_end, StoreOutcome::kDone);
  cr_assert_eq(read.m_items.size(), 2);
  cr_assert_throw(DecodeServer("a", read.m_items[0].m_value), DecodeError);
  cr_assert_str_eq(read.m_items[1].m_value.c_str(), "xyz");
}

Test(PlatformDecode, Member_EncodedAndDecoded_IsTheSame) {
  const FleetMember member{"vm-1", "10.0.0.1:80", "d1", "r1"};
  const FleetMember same = DecodeMember(EncodeMember(member));
  cr_assert_str_eq(same.m_client_address.c_str(), "10.0.0.1:80");
  cr_assert_str_eq(same.m_region.c_str(), "r1");
}

/// A store response and the outcome that it implies.
struct StoreCase {
  FetchOutcome m_fetch;
  int m_status;
  StoreOutcome m_end;
};

constexpr StoreCase kStoreCases[] = {
    {FetchOutcome::kAnswered, 200, StoreOutcome::kDone},
    {FetchOutcome::kAnswered, 404, StoreOutcome::kMissing},
    {FetchOutcome::kAnswered, 410, StoreOutcome::kHistoryGone},
    {FetchOutcome::kAnswered, 412, StoreOutcome::kConflict},
    {FetchOutcome::kAnswered, 429, StoreOutcome::kRefused},
    {FetchOutcome::kAnswered, 503, StoreOutcome::kRefused},
    {FetchOutcome::kAnswered, 500, StoreOutcome::kUnknown},
    {FetchOutcome::kConnectFailed, 0, StoreOutcome::kRefused},
    {FetchOutcome::kNoAnswer, 0, StoreOutcome::kUnknown},
    {FetchOutcome::kTimedOut, 0, StoreOutcome::kUnknown},
    {FetchOutcome::kTruncated, 200, StoreOutcome::kUnknown}};

Test(PlatformDecode, StoreResponse_EachStatus_HasItsOutcome) {
  for (const StoreCase& one : kStoreCases) {
    HttpResult result;
    result.m_end = one.m_fetch;
    result.m_response.m_status = one.m_status;
    cr_assert_eq(ClassifyStoreResponse(result), one.m_end, "status %d",
                 one.m_status);
  }
}

Test(PlatformDecode, StoreRead_ItemsAndRemovals_AreDecoded) {
  HttpResult result;
  result.m_end = FetchOutcome::kAnswered;
  result.m_response.m_body =
      R"({"events":[{"Key":"a","Value":"bm9kZS0x","Rev":412,"Created":412,
          "Lease":77120},{"Key":"b","Rev":413,"Deleted":true}],
          "StoreRevision":413})";
  const StoreReadResult read = DecodeRead(result, "events");
  cr_assert_eq(read.m_items.size(), 2);
  cr_assert_str_eq(read.m_items[0].m_value.c_str(), "node-1");
  cr_assert(read.m_items[1].m_removed);
  cr_assert_eq(read.m_revision.Get(), 413);
}

Test(PlatformDecode, StoreRead_StatesItsEra_AlsoWhereTheHistoryIsGone) {
  HttpResult result;
  result.m_end = FetchOutcome::kAnswered;
  result.m_response.m_status = 410;
  result.m_response.m_headers = {{"store-era", "3"}};
  cr_assert_eq(DecodeRead(result, "events").m_era, StoreEra(3));
  result.m_response.m_headers = {{"store-era", "3x"}};
  cr_assert_eq(DecodeRead(result, "events").m_era, StoreEra());
}

Test(PlatformDecode, StoreRead_DamagedBody_CountsAsNoResponse) {
  HttpResult result;
  result.m_end = FetchOutcome::kAnswered;
  result.m_response.m_body = R"({"events":[{"Key":"a"}],"StoreRevision":4})";
  cr_assert_eq(DecodeRead(result, "events").m_end, StoreOutcome::kUnknown);
}

// Decoded wrongly, an organisation could be taken for another one or exceed its
// rate limit.
Test(PlatformDecode, Config_Organisations_AreRead) {
  json config = json::parse(kConfig);
  config["Tenants"] = json::parse(R"({"Columns":["Name","ApiKeys","Priority",
      "RatePerS","Burst","HomeRegions"],
    "Rows":[["acme",["k1","k2"],0,40,50,["north"]],
            ["byte",["k3"],null,null,null,null]]})");
  const RoutingTable table = DecodeConfig(config.dump());
  cr_assert(table.m_organisations.has_value());
  cr_assert_eq(table.m_organisations->size(), 2);
  const Organisation& first = table.m_organisations->at(0);
  cr_assert_str_eq(first.m_name.c_str(), "acme");
  cr_assert_str_eq(first.m_keys.at(1).c_str(), "k2");
  cr_assert_eq(first.m_priority, 0);
  cr_assert_float_eq(first.m_rate_per_second, 40, 1e-9);
  cr_assert_float_eq(first.m_burst, 50, 1e-9);
  cr_assert_str_eq(first.m_home_regions.at(0).c_str(), "north");
  const Organisation& second = table.m_organisations->at(1);
  cr_assert_not(second.m_priority.has_value());
  cr_assert_float_eq(second.m_rate_per_second, 0, 1e-9);
  cr_assert(second.m_home_regions.empty());
}

Test(PlatformDecode, Config_WithoutOrganisations_RequiresNoKeys) {
  cr_assert_not(DecodeConfig(kConfig).m_organisations.has_value());
}

// With one key for two organisations, the sender of a request would be
// ambiguous.
Test(PlatformDecode, Config_FaultyOrganisations_AreRefusedWithTheField) {
  const std::pair<const char*, const char*> faults[] = {
      {R"(["a",["k"],1],["b",["k"],1])", "ApiKeys"},
      {R"(["a",["k"],1],["a",["l"],1])", "Name"},
      {R"(["a",[""],1])", "ApiKeys"},
      {R"(["",["k"],1])", "Name"},
      {R"(["a",["k"],-1])", "RatePerS"},
      {R"(["a",["k"],"5"])", "RatePerS"}};
  for (const auto& [rows, field] : faults) {
    json config = json::parse(kConfig);
    config["Tenants"] =
        json::parse(R"({"Columns":["Name","ApiKeys","RatePerS"],"Rows":[)" +
                    std::string(rows) + "]}");
    std::string problem;
    try {
      DecodeConfig(config.dump());
    } catch (const DecodeError& error) {
      problem = error.what();
    }
    cr_assert(problem.find(field) != std::string::npos, "%s", rows);
    cr_assert(problem.find("\"k\"") == std::string::npos, "%s", rows);
  }
}

Test(PlatformDecode, Config_OrganisationWithUnknownHome_IsRefused) {
  RoutingTable table;
  table.m_organisations.emplace();
  table.m_organisations->push_back({.m_name = "acme",
                                    .m_keys = {},
                                    .m_priority = std::nullopt,
                                    .m_home_regions = {"south"}});
  RequireKnownHomeRegions(table, {{"d1", "south"}});
  bool is_refused = false;
  try {
    RequireKnownHomeRegions(table, {{"d1", "north"}});
  } catch (const DecodeError&) {
    is_refused = true;
  }
  cr_assert(is_refused);
}

// Downloads are specified to be repeatable. When they were taken for
// non-idempotent requests, each lost response made one fail.
Test(PlatformDecode, Config_DownloadRoute_MayRunAgain) {
  json config = json::parse(kConfig);
  config["Routes"]["Rows"][0][3] = "download";
  cr_assert(DecodeConfig(config.dump()).m_routes[0].m_idempotent);
}

// Guards against running an upload twice: it changes data like any
// non-idempotent request.
Test(PlatformDecode, Config_UploadRoute_MayNotRunAgain) {
  json config = json::parse(kConfig);
  config["Routes"]["Rows"][0][3] = "upload";
  cr_assert_not(DecodeConfig(config.dump()).m_routes[0].m_idempotent);
}

// Another writer's entry with a list in a list, and so on: the message of the
// error recursed once a level, and all VMs crashed at each start.
Test(PlatformDecode, ServerEntryNestedDeeply_IsRefused) {
  constexpr size_t kLevels = 400000;
  const std::string nested =
      std::string(kLevels, '[') + std::string(kLevels, ']');
  for (const char* field : {"Service", "Extra"}) {
    const std::string entry = std::string("{\"") + field + "\":" + nested + "}";
    cr_expect_throw(DecodeServer("i-1", entry), DecodeError, "%s", field);
    cr_expect_throw(DecodeMember(entry), DecodeError, "%s", field);
    cr_expect_throw(DecodeConfig(entry), DecodeError, "%s", field);
  }
}

// Brackets in texts are no levels.
Test(PlatformDecode, BracketsInText_AreAccepted) {
  const std::string text = "\\\"" + std::string(2 * kMaxJsonDepth, '[');
  cr_expect_eq(ParseJsonText("[\"" + text + "\"]").size(), 1U);
  cr_expect_not(IsNestedTooDeeply(std::string(kMaxJsonDepth, '[')));
  cr_expect(IsNestedTooDeeply(std::string(kMaxJsonDepth + 1, '[')));
}

}  // namespace
}  // namespace sorrelplank::platform
