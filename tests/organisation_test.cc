/// @file organisation_test.cc Requests of organisations and their keys.

#include <criterion/criterion.h>

#include <memory>

#include "proxy/caller_key_func.h"
#include "tests/steering_fixture.h"

namespace sorrelplank {
namespace {

/// Two organisations with one key each, and a route that needs no key.
struct OrganisationFixture : SteeringFixture {
  OrganisationFixture() { InstallOrganisations(2, {Acme(), Byte()}); }

  static Organisation Acme() { return MakeOrganisation("acme", "k-acme"); }
  static Organisation Byte() { return MakeOrganisation("byte", "k-byte"); }

  void InstallOrganisations(uint64_t version,
                            std::vector<Organisation> organisations) {
    RouteRule open = MakeRoute("/open/", true);
    open.m_is_public = true;
    Install(version,
            {MakeRoute("/read/", true), MakeRoute("/write/", false), open},
            std::move(organisations));
  }

  /// Fills all slots, plus one extra request per server, until a request waits
  /// or is refused.
  void FillServers() {
    while (Count<RefuseRequest>() == 0 && m_steering.WaitingCount() == 0) {
      ArriveWithKey("/read/x", "k-acme", m_next);
    }
  }
};

std::unique_ptr<OrganisationFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<OrganisationFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(Organisations, .init = SetUp, .fini = TearDown);

Test(Organisations, KnownKey_Request_IsSentWithItsOrganisation) {
  g_fixture->ArriveWithKey("/read/x", "k-byte");
  const SendToServer& send = *g_fixture->Last<SendToServer>();
  cr_assert_str_eq(send.m_organisation.c_str(), "byte");
  cr_assert(send.m_strips_key);
}

Test(Organisations, NoKeyOrUnknownKey_Request_Is401) {
  g_fixture->Arrive("/read/x");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kUnknownKey);
  g_fixture->ArriveWithKey("/read/x", "k-other");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kUnknownKey);
  g_fixture->ArriveWithKey("/read/x", "");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kUnknownKey);
  cr_assert_eq(g_fixture->Count<SendToServer>(), 0);
}

Test(Organisations, PublicRoute_RequestWithoutKey_IsSentWithoutOrganisation) {
  g_fixture->Arrive("/open/x");
  cr_assert_str_empty(g_fixture->Last<SendToServer>()->m_organisation.c_str());
}

// Keys are not checked on a public route, so they identify no organisation
// there and must not be forwarded.
Test(Organisations, PublicRoute_RequestWithKey_StripsTheKey) {
  g_fixture->ArriveWithKey("/open/x", "k-acme");
  cr_assert(g_fixture->Last<SendToServer>()->m_strips_key);
}

Test(Organisations, NoOrganisationsConfigured_Request_NeedsNoKey) {
  g_fixture->Install(3, {MakeRoute("/read/", true)});
  g_fixture->Arrive("/read/x");
  cr_assert_eq(g_fixture->Count<SendToServer>(), 1);
  cr_assert_not(g_fixture->Last<SendToServer>()->m_strips_key);
}

// A VM that is cut off from the store does not know a new key. 401 would stop
// the caller's retries, although other VMs know the key.
Test(Organisations, CutOffFromStore_UnknownKey_IsRefusedAsRetriable) {
  g_fixture->m_steering.SetDataStale(true);
  g_fixture->ArriveWithKey("/read/x", "k-new");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kTableMayBeOld);
  g_fixture->m_steering.SetDataStale(false);
  g_fixture->ArriveWithKey("/read/x", "k-new");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kUnknownKey);
}

// A request waits for a slot and meanwhile its key is revoked. Served from the
// queue, it would run with a key that is no longer valid.
Test(Organisations, KeyRevoked_WaitingRequest_IsRefused) {
  g_fixture->FillServers();
  cr_assert_eq(g_fixture->m_steering.WaitingCount(), 1);
  g_fixture->InstallOrganisations(3, {OrganisationFixture::Byte()});
  cr_assert_eq(g_fixture->m_steering.WaitingCount(), 0);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kUnknownKey);
}

Test(Organisations, KeyRevoked_NextRequestOfTheConnection_Is401) {
  g_fixture->ArriveWithKey("/read/x", "k-acme");
  g_fixture->InstallOrganisations(3, {OrganisationFixture::Byte()});
  g_fixture->ArriveWithKey("/read/x", "k-acme");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kUnknownKey);
}

// Both servers are in region r1; the organisation may only run in r2.
Test(Organisations, HomeRegionWithoutServers_Request_IsRefusedAtOnce) {
  Organisation abroad = OrganisationFixture::Acme();
  abroad.m_home_regions = {"r2"};
  g_fixture->InstallOrganisations(3, {abroad, OrganisationFixture::Byte()});
  g_fixture->ArriveWithKey("/read/x", "k-acme");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoServer);
  g_fixture->ArriveWithKey("/read/x", "k-byte");
  cr_assert_eq(g_fixture->Count<SendToServer>(), 1);
}

// Requests of the organisation go to its home region r2, whatever their
// objects.
Test(Organisations, OtherHomeRegion_Requests_AllGoThere) {
  g_fixture->PutServer("far", "d3");
  g_fixture->Pass(seconds(3));
  Organisation abroad = OrganisationFixture::Acme();
  abroad.m_home_regions = {"r2"};
  g_fixture->InstallOrganisations(3, {abroad});
  for (uint64_t object = 0; object < 20; ++object) {
    g_fixture->ArriveWithKey("/read/x", "k-acme", object);
    cr_assert_str_eq(g_fixture->Last<SendToServer>()->m_instance.c_str(),
                     "far");
    g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kAnswered);
  }
}

Test(Organisations, RouteAndOrganisationInOtherRegions_Request_IsRefused) {
  g_fixture->PutServer("far", "d3");
  g_fixture->Pass(seconds(3));
  RouteRule route = MakeRoute("/read/", true);
  route.m_home_regions = {"r1"};
  Organisation abroad = OrganisationFixture::Acme();
  abroad.m_home_regions = {"r2"};
  g_fixture->Install(3, {route}, {{abroad}});
  g_fixture->ArriveWithKey("/read/x", "k-acme");
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoServer);
}

// The home regions of an organisation change while one of its requests waits.
// Served from its queue, it would run in a region that is not allowed.
Test(Organisations, HomeRegionsChange_WaitingRequest_LeavesItsQueue) {
  g_fixture->FillServers();
  Organisation abroad = OrganisationFixture::Acme();
  abroad.m_home_regions = {"r2"};
  g_fixture->InstallOrganisations(3, {abroad});
  cr_assert_eq(g_fixture->m_steering.WaitingCount(), 0);
  cr_assert_eq(g_fixture->LastReason(), SteerRefusal::kNoServer);
}

// The servers are full. Of the waiting requests, that of the organisation with
// the more urgent priority goes first, although its route is less urgent.
Test(Organisations, SeveralWait_SlotComesFree_MoreUrgentOrganisationGoesFirst) {
  Organisation urgent = OrganisationFixture::Byte();
  urgent.m_priority = 0;
  RouteRule read = MakeRoute("/read/", true);
  read.m_priority = 1;
  read.m_timeout = seconds(5);
  read.m_target_latency = seconds(4);
  RouteRule slow = MakeRoute("/slow/", true);
  slow.m_priority = 2;
  slow.m_timeout = seconds(5);
  slow.m_target_latency = seconds(4);
  g_fixture->Install(3, {read, slow}, {{OrganisationFixture::Acme(), urgent}});
  while (g_fixture->m_steering.WaitingCount() < 3) {
    g_fixture->ArriveWithKey("/read/x", "k-acme");
  }
  const RequestId last = g_fixture->ArriveWithKey("/slow/x", "k-byte");
  cr_assert_eq(g_fixture->m_steering.WaitingCount(), 4);
  g_fixture->End(*g_fixture->Last<SendToServer>(), AttemptEnd::kAnswered);
  cr_assert_eq(g_fixture->Last<SendToServer>()->m_request, last);
}

Test(CallerKey, Credentials_OfBearerScheme_GiveTheKey) {
  cr_assert_eq(ParseBearerKey("Bearer k1"), "k1");
  cr_assert_eq(ParseBearerKey("bEARER   k1 "), "k1");
  cr_assert_eq(ParseBearerKey("Bearer\tk1"), "k1");
}

Test(CallerKey, OtherCredentials_GiveNoKey) {
  for (const char* text : {"", "Bearer", "Bearer ", "Basic k1", "k1"}) {
    cr_assert_not(ParseBearerKey(text).has_value(), "%s", text);
  }
}

// A field sent twice arrives as one value; no organisation has that key.
Test(CallerKey, CredentialsSentTwice_GiveNeitherKey) {
  cr_assert_eq(ParseBearerKey("Bearer k1, Bearer k2"), "k1, Bearer k2");
}

}  // namespace
}  // namespace sorrelplank
