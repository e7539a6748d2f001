/// @file steering.cc Routing, placement and the split over regions.

#include "steer/steering.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/invariant_func.h"
#include "steer/start_gate.h"
#include "table/steer_refusal_table.h"

namespace sorrelplank {

namespace {

/// How often loads of regions are measured.
constexpr Duration kSharesInterval = milliseconds(100);
/// Part of the allowed shift that is moved in a second. The bound is on two
/// adjacent windows of 2 s, so a steady move of x a second shows as 2 x; the
/// rest is left for the unevenness of what the windows catch.
constexpr double kShiftPart = 0.33;
/// How much more of its objects one service may have moved away from the own
/// region, or back to it, than another, as a part of the allowed shift. The
/// bound holds over all services together: where they stand far apart, a change
/// of the traffic's mix alone moves requests. The last requests of a burst, two
/// thirds of them of one service that had moved half away, ran elsewhere by
/// 0.35 in 2 s. With one of two services come home and the other not, the end
/// of the other's requests moved 0.32; now 0.06.
constexpr double kApartPart = 1;

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

/// All regions, the own one first; the others in an order that differs from
/// region to region, so that what one lacks is not asked of one other alone.
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
      m_server_limits(m_settings.m_vm, m_settings.m_region, m_regions) {
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
    return SteerRefusal::kNoRoute;
  }
  request.m_table = m_table;
  request.m_route = route;
  request.m_organisation = nullptr;
  request.m_allowed_regions = MaskOf(route->m_home_regions);
  request.m_rank = {route->m_priority, route->m_priority};
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
    // 401 ends a caller's tries for good. A VM that may have missed the version
    // that brought the key can only say that it did not run the request.
    return m_picker.IsCutOff() ? SteerRefusal::kTableMayBeOld
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
  const size_t chosen = m_splits[request.m_route->m_name].Next(weights);
  request.m_service = shares[chosen].m_service;
}

void Steering::Arrived(RequestFacts facts, TimePoint now) {
  const RequestId id = facts.m_request;
  SteeredRequest& request = m_requests[id];
  request.m_facts = std::move(facts);
  request.m_arrived = now;
  if (m_is_loading) {
    // A table that is there already may be seconds old: it could name a route's
    // former service, and servers that turned cold meanwhile. Refused, the
    // client would use up one of its few retries and be late by the time to
    // come back; the table is there sooner than it would be back.
    request.m_awaits_table = true;
    request.m_finish_by =
        now + std::min<Duration>(request.m_facts.m_time_left, kMaxHoldTime);
    m_awaiting_table.push_back(id);
    return;
  }
  if (!m_table) {
    Refuse(request, SteerRefusal::kNotReady, now);
    return;
  }
  if (m_refuses_new) {
    // A request on a kept connection, so late in a stop that its answer might
    // not come before the process ends: its client would see a cut and could
    // not tell whether it ran.
    Refuse(request, SteerRefusal::kStopping, now);
    return;
  }
  Admit(request, now);
}

void Steering::SetLoading(bool is_loading, TimePoint now) {
  m_is_loading = is_loading;
  if (is_loading || m_awaiting_table.empty()) {
    return;
  }
  // The split over regions must be set by the servers before the first request
  // starts it; begun with all requests at home, it took ten seconds to move.
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
  if (const auto refusal = Route(request)) {
    Refuse(request, *refusal, now);
    return;
  }
  const Duration time =
      std::min(request.m_facts.m_time_left, request.m_route->m_timeout);
  request.m_finish_by = request.m_arrived + time;
  if (m_crashes.IsHeldBack(request.m_facts.m_digest, now)) {
    // Repeated without end, it would end one server after the other, and with
    // each one the requests of other callers that run there.
    Refuse(request, SteerRefusal::kHeldBack, now);
    return;
  }
  if (HasLimit(request.m_organisation) && !request.m_has_token) {
    TakeToken(request, now);
  } else {
    Begin(request, now);
  }
}

void Steering::Begin(SteeredRequest& request, TimePoint now) {
  Service(request.m_service).CountRequest(now);
  Place(request, now);
}

ServerRoster* Steering::Candidates(const SteeredRequest& request,
                                   PickNeed& need) {
  SteeredService& service = Service(request.m_service);
  const size_t region = service.Shares().RegionOf(request.m_facts.m_object,
                                                  request.m_allowed_regions);
  if (region >= m_regions.size()) {
    return nullptr;
  }
  need.m_object = request.m_facts.m_object;
  need.m_has_object_affinity = request.m_route->m_has_object_affinity;
  need.m_tried = &request.m_tried;
  need.m_usual = service.Usual();
  need.m_limits = &m_server_limits;
  return &service.ServersOf(region);
}

Choice Steering::Choose(SteeredRequest& request, TimePoint now) {
  PickNeed need;
  ServerRoster* const servers = Candidates(request, need);
  if (servers == nullptr) {
    return {};
  }
  const ServiceRules& rules = RulesOf(request.m_service);
  Choice choice = m_picker.Pick(*servers, rules, need, now);
  if (choice.m_first == nullptr && choice.m_passed_over > 0) {
    need.m_takes_remote_limited = true;
    choice = m_picker.Pick(*servers, rules, need, now);
  }
  request.m_passed_over = choice.m_passed_over;
  return choice;
}

MovedAwayBounds Steering::BoundsOfMoves(const SteeredService& moving,
                                        TimePoint now) const {
  double least_away = 1;
  double most_away = -1;
  for (const auto& [name, service] : m_services) {
    const RegionShares& shares = service->Shares();
    if (!shares.HasStarted()) {
      continue;
    }
    least_away = std::min(least_away, shares.MovedAway());
    // Coming home brings a service nearer to those that are there already. One
    // that has no server at home or is asked nothing stays where it is, and
    // would keep all others away for good.
    const bool holds_back = service->IsInUse(now) && shares.HasOwnSlots() &&
                            shares.OwnShare() < moving.Shares().OwnShare();
    if (holds_back) {
      most_away = std::max(most_away, shares.MovedAway());
    }
  }
  const double apart = m_settings.m_most_shift * kApartPart;
  return {.m_min = most_away - apart,
          .m_max = std::max(0.0, least_away) + apart};
}

void Steering::UpdateShares(TimePoint now) {
  for (auto& [name, service] : m_services) {
    service->UpdateShares(m_picker, RulesOf(name),
                          m_settings.m_most_shift * kShiftPart,
                          BoundsOfMoves(*service, now), now);
    const auto share = service->ShareToTell();
    if (share) {
      const RegionShares& shares = service->Shares();
      m_sink(SplitMoved{name, *share, shares.OwnLoad(),
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
  m_quota_keeper.ForgetUnused(now);
  SettleServerTokens(m_server_limits.Tick(now), now);
  std::vector<RequestId> ids;
  ids.reserve(m_requests.size());
  for (const auto& [id, request] : m_requests) {
    ids.push_back(id);
  }
  for (const RequestId id : ids) {
    CheckTime(m_requests.at(id), now);
  }
  for (auto& [name, service] : m_services) {
    ServeWaiting(*service, now);
  }
  ForgetOldCrashes(now);
}

}  // namespace sorrelplank
