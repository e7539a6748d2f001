/// @file steering.cc Routing, server selection and the split over regions.

#include "steer/steering.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/invariant_func.h"
#include "steer/start_gate.h"
#include "table/steer_refusal_table.h"

namespace sorrelplank {

namespace {

/// Interval between measurements of the regions' loads.
constexpr Duration kSharesInterval = milliseconds(100);
/// Fraction of the allowed shift that is moved per second. The limit applies to
/// two adjacent windows of 2 s, so a steady shift of x per second shows as 2 x;
/// the rest is margin for variation between the windows.
constexpr double kShiftRateFraction = 0.33;
/// Maximum difference between two services in the fraction of their objects
/// moved away from (or back to) the own region, as a fraction of the allowed
/// shift. The limit on shifts applies to all services together: if their splits
/// differ much, a mere change of the traffic mix moves requests. At the end of
/// a burst, with two thirds of the requests belonging to a service that had
/// moved half away, requests shifted by 0.35 in 2 s. With one of two services
/// back in the own region and the other not, the end of the other's requests
/// shifted 0.32; with this limit 0.06.
constexpr double kServiceSkewFraction = 1;

/// All regions in the order of their numbers.
std::vector<std::string> RegionsByNumber(const SteeringSettings& settings) {
  std::vector<std::string> regions;
  for (const auto& [domain, region] : settings.m_regions) {
    if (std::find(regions.begin(), regions.end(), region) == regions.end()) {
      regions.push_back(region);
    }
  }
  return regions;
}

/// All regions, starting with the own one. The order of the others differs from
/// region to region, so that a region's shortage does not burden a single other
/// one.
std::vector<std::string> RegionsFromOwn(const SteeringSettings& settings) {
  std::set<std::string> sorted;
  for (const auto& [domain, region] : settings.m_regions) {
    sorted.insert(region);
  }
  std::vector<std::string> regions(sorted.begin(), sorted.end());
  const auto own = std::find(regions.begin(), regions.end(), settings.m_region);
  std::rotate(regions.begin(), own, regions.end());
  return regions;
}

}  // namespace

const SteerRefusalRow& DescribeSteerRefusal(SteerRefusal reason) {
  return kSteerRefusalTable[static_cast<size_t>(reason)];
}

Steering::Steering(SteeringSettings settings, Sink sink)
    : m_settings(std::move(settings)),
      m_sink(std::move(sink)),
      m_regions(RegionsByNumber(m_settings)),
      m_picker(m_settings),
      m_quota_gate(RegionsFromOwn(m_settings)),
      m_server_limits(m_settings.m_vm, m_settings.m_region, m_regions),
      m_retry_extra_share(m_settings.m_retry_window),
      m_peers(m_settings) {
  m_quota_gate.SetBounds(m_settings.m_quotas);
  m_quota_keeper.SetBounds(m_settings.m_quotas);
  m_own_region = RegionOf(m_settings.m_failure_domain);
  m_removal_spread = HashName(m_settings.m_vm).Get() /
                     static_cast<double>(std::numeric_limits<uint32_t>::max());
  Invariant(m_own_region < m_regions.size(), "the own region is known");
}

std::optional<SteerRefusal> Steering::Route(SteeredRequest& request) {
  const RouteRule* route =
      m_index->Find(request.m_facts.m_host, request.m_facts.m_path);
  if (route == nullptr) {
    // A client does not retry after status 404, although a VM with a newer
    // table may have the route.
    return m_picker.IsDataStale() ? SteerRefusal::kTableMayBeOld
                                  : SteerRefusal::kNoRoute;
  }
  request.m_table = m_table;
  request.m_route = route;
  request.m_organisation = nullptr;
  request.m_allowed_regions = MaskOf(route->m_home_regions);
  request.m_rank.m_organisation = route->m_priority;
  request.m_rank.m_route = route->m_priority;
  if (m_table->m_organisations && !route->m_is_public) {
    if (const auto refusal = Identify(request)) {
      return refusal;
    }
  }
  ChooseService(request);
  return std::nullopt;
}

std::optional<SteerRefusal> Steering::Identify(SteeredRequest& request) const {
  const Organisation* organisation =
      OrganisationOf(request.m_facts.m_key.value_or(""));
  if (organisation == nullptr) {
    // A client does not retry after status 401. A VM that may have missed the
    // table version with the key must only say that the request did not run.
    return m_picker.IsDataStale() ? SteerRefusal::kTableMayBeOld
                                  : SteerRefusal::kUnknownKey;
  }
  request.m_organisation = organisation;
  request.m_allowed_regions &= MaskOf(organisation->m_home_regions);
  request.m_rank.m_organisation =
      organisation->m_priority.value_or(request.m_rank.m_route);
  return std::nullopt;
}

void Steering::ChooseService(SteeredRequest& request) {
  const auto& shares = request.m_route->m_shares;
  const bool keeps_service =
      std::any_of(shares.begin(), shares.end(), [&](const BackendShare& share) {
        return share.m_service == request.m_service && share.m_weight > 0;
      });
  if (keeps_service) {
    return;
  }
  std::vector<double> weights;
  weights.reserve(shares.size());
  for (const BackendShare& share : shares) {
    weights.push_back(share.m_weight);
  }
  if (std::all_of(weights.begin(), weights.end(),
                  [](double weight) { return weight <= 0; })) {
    std::fill(weights.begin(), weights.end(), 1);
  }
  const size_t chosen = m_route_splits[request.m_route->m_name].Next(weights);
  request.m_service = shares[chosen].m_service;
}

void Steering::Arrived(RequestFacts facts, TimePoint now) {
  const RequestId id = facts.m_request;
  SteeredRequest& request = m_requests[id];
  request.m_facts = std::move(facts);
  request.m_arrived = now;
  if (m_is_loading) {
    // An existing table may be seconds old: it could name a route's former
    // service, and servers may have become cold since. A refusal would use up
    // one of the client's few retries, and the response to the retry would be
    // late; loading ends before the client would retry.
    request.m_awaits_table = true;
    request.m_deadline =
        now + std::min<Duration>(request.m_facts.m_time_left, kMaxHoldTime);
    m_awaiting_table.push_back(id);
    return;
  }
  if (!m_table) {
    Refuse(request, SteerRefusal::kNotReady, now);
    return;
  }
  if (m_refuses_new) {
    // The request came on an existing connection so late during shutdown that
    // its response might not be sent before the process exits. The client would
    // see a closed connection and could not tell whether the request ran.
    Refuse(request, SteerRefusal::kStopping, now);
    return;
  }
  ServeUnevenQueues(now);
  Admit(request, now);
}

void Steering::SetLoading(bool is_loading, TimePoint now) {
  m_is_loading = is_loading;
  if (is_loading || m_awaiting_table.empty()) {
    return;
  }
  // The split over regions must be computed from the servers before the first
  // request, after which it shifts only slowly. Started with all requests in
  // the own region, it took ten seconds to shift.
  UpdateShares(now);
  std::list<RequestId> held;
  held.swap(m_awaiting_table);
  for (const RequestId id : held) {
    SteeredRequest& request = m_requests.at(id);
    request.m_awaits_table = false;
    if (m_table) {
      Admit(request, now);
    } else {
      Refuse(request, SteerRefusal::kNotReady, now);
    }
  }
}

void Steering::Admit(SteeredRequest& request, TimePoint now) {
  const auto& passed_on = request.m_facts.m_passed_on;
  if (passed_on && ((m_picker.IsDataStale() && !passed_on->m_is_data_stale) ||
                    m_table->m_version < passed_on->m_table_version)) {
    // The VM that passed the request on may know of a newer configuration, and
    // of servers that are leaving.
    Refuse(request, SteerRefusal::kTableMayBeOld, now);
    return;
  }
  if (const auto refusal = Route(request)) {
    Refuse(request, *refusal, now);
    return;
  }
  const Duration time =
      std::min(request.m_facts.m_time_left, request.m_route->m_timeout);
  request.m_deadline = request.m_arrived + time;
  request.m_is_trial = TryBeginTrial(request, now);
  if (m_crashes.IsHeldBack(request.m_facts.m_digest, now) &&
      !request.m_is_trial) {
    // A request that is retried endlessly would crash one server after the
    // other, each with the requests of other callers that run there.
    Refuse(request, SteerRefusal::kHeldBack, now);
    return;
  }
  // The VM that passed a request on has taken its token.
  if (HasLimit(request.m_organisation) && !request.m_has_token && !passed_on) {
    TakeToken(request, now);
  } else {
    Begin(request, now);
  }
}

void Steering::Begin(SteeredRequest& request, TimePoint now) {
  SteeredService& service = Service(request.m_service);
  service.NoteInUse(now);
  if (request.m_facts.m_passed_on) {
    // Counted where it arrived from its caller; the time left is not the one
    // that the caller set.
    Dispatch(request, now);
    return;
  }
  service.Retries().CountRequest(now);
  const Duration returned_after = m_returns.Observe(
      request.m_route->m_name, request.m_facts.m_time_left, now);
  if (service.IsUneven()) {
    request.m_returned_after = returned_after;
    request.m_rank.m_is_first_call = returned_after == Duration::zero();
  }
  Dispatch(request, now);
}

RegionServers* Steering::Candidates(const SteeredRequest& request,
                                    PickCriteria& criteria) {
  SteeredService& service = Service(request.m_service);
  const size_t region = service.Shares().RegionOf(request.m_facts.m_object,
                                                  request.m_allowed_regions);
  if (region >= m_regions.size()) {
    return nullptr;
  }
  criteria.m_object = request.m_facts.m_object;
  criteria.m_has_object_affinity = request.m_route->m_has_object_affinity;
  criteria.m_is_queued = request.m_is_queued;
  criteria.m_tried = &request.m_tried;
  criteria.m_usual = service.UsualIn(region);
  criteria.m_limits = &m_server_limits;
  return &service.ServersIn(region);
}

Choice Steering::Choose(SteeredRequest& request, TimePoint now) {
  PickCriteria criteria;
  RegionServers* const servers = Candidates(request, criteria);
  if (servers == nullptr) {
    return {};
  }
  const ServiceRules& rules = RulesOf(request.m_service);
  Choice choice = m_picker.Pick(*servers, rules, criteria, now);
  if (choice.m_fastest == nullptr && choice.m_passed_over > 0) {
    criteria.m_allows_remote_limited = true;
    choice = m_picker.Pick(*servers, rules, criteria, now);
  }
  request.m_passed_over = choice.m_passed_over;
  request.m_first_choice =
      criteria.m_has_object_affinity ? choice.m_first : nullptr;
  return choice;
}

MovedAwayBounds Steering::ShiftBounds(const SteeredService& moving,
                                      TimePoint now) const {
  double min_moved_away = 1;
  double max_moved_away = -1;
  for (const auto& [name, service] : m_services) {
    const RegionShares& shares = service->Shares();
    // These shares follow the slots of their service, however far those of
    // the others are; it would keep them away permanently.
    if (!shares.HasStarted() || service->IsSplitBySlots()) {
      continue;
    }
    min_moved_away = std::min(min_moved_away, shares.MovedAway());
    // Moving back to the own region brings this service closer to those that
    // already run there. Services without servers in the own region or without
    // requests do not move, and would keep all others away permanently.
    const bool holds_back = service->IsInUse(now) && shares.HasOwnSlots() &&
                            shares.OwnShare() < moving.Shares().OwnShare();
    if (holds_back) {
      max_moved_away = std::max(max_moved_away, shares.MovedAway());
    }
  }
  const double max_skew = m_settings.m_max_shift * kServiceSkewFraction;
  return {.m_min = max_moved_away - max_skew,
          .m_max = std::max(0.0, min_moved_away) + max_skew};
}

void Steering::UpdateShares(TimePoint now) {
  if (!ReachesServers()) {
    // No region can be reached; where requests go afterwards must not depend on
    // which one failed first.
    return;
  }
  for (auto& [name, service] : m_services) {
    service->UpdateShares(m_picker, m_settings.m_max_shift * kShiftRateFraction,
                          ShiftBounds(*service, now), ShortestTarget(name),
                          now);
    const auto is_uneven = service->UnevenToLog();
    if (is_uneven) {
      m_sink(StateChanged{*is_uneven ? "capacity_uneven" : "capacity_even",
                          name, service->Shares().OwnShare()});
    }
    const auto share = service->ShareToLog();
    if (share) {
      const RegionShares& shares = service->Shares();
      m_sink(RegionSplitChanged{name, *share, shares.OwnLoad(),
                                shares.LeastLoadElsewhere()});
    }
  }
}

void Steering::Tick(TimePoint now) {
  if (now - m_shares_updated >= kSharesInterval) {
    m_shares_updated = now;
    UpdateShares(now);
  }
  SettleQuota(m_quota_gate.Tick(now), now);
  m_quota_keeper.DropUnused(now);
  SettleServerTokens(m_server_limits.Tick(now), now);
  std::vector<RequestId> ids;
  ids.reserve(m_requests.size());
  for (const auto& [id, request] : m_requests) {
    ids.push_back(id);
  }
  for (const RequestId id : ids) {
    CheckDeadline(m_requests.at(id), now);
  }
  for (auto& [name, service] : m_services) {
    ReviewWaiting(*service, now);
    ServeWaiting(*service, now);
  }
  DropExpiredCrashes(now);
  ProbeServers(now);
  SettleRefusedChecks(now);
}

}  // namespace sorrelplank
