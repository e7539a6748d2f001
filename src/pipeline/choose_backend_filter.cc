/// @file choose_backend_filter.cc Slots, caps and scores of held backend
/// servers.

#include "pipeline/choose_backend_filter.h"

#include <algorithm>

#include "core/invariant_func.h"

namespace sorrelplank {

ChooseBackendFilter::ChooseBackendFilter(const Snapshot& snapshot,
                                         PlaceId own_place,
                                         Safeguards safeguards)
    : m_snapshot(snapshot), m_own_place(own_place), m_safeguards(safeguards) {}

std::optional<NameHash> ChooseBackendFilter::Apply(const Call& call,
                                                   Holdings& holdings,
                                                   LinkWindows& links,
                                                   TimePoint now) const {
  if (m_snapshot.Get(m_own_place).m_leaving && m_safeguards.m_leaving_stops) {
    return std::nullopt;
  }
  Candidates found = Collect(call, holdings, now);
  const uint32_t reserve =
      (found.m_held_slots * m_snapshot.m_policy.m_home_reserve_percent + 99) /
      100;
  if (IsFromOtherRegion(call) && m_safeguards.m_home_reserve &&
      found.m_free_slots <= reserve) {
    return std::nullopt;
  }
  // Ejected servers come last: if all others are full or failing too, trying
  // them is better than refusing. When most servers seem to fail at once, the
  // cause is more often the network path or the measurement than the servers.
  std::sort(found.m_list.begin(), found.m_list.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.m_is_ejected != b.m_is_ejected ? b.m_is_ejected
                                                      : a.m_score < b.m_score;
            });
  const bool is_shifted = IsShifted(call);
  for (const Candidate& candidate : found.m_list) {
    if (is_shifted && !TryCountShiftedRequest(call, *candidate.m_backend,
                                              *candidate.m_held, links, now)) {
      continue;
    }
    candidate.m_held->Take(now);
    return candidate.m_backend->m_hash;
  }
  return std::nullopt;
}

ChooseBackendFilter::Candidates ChooseBackendFilter::Collect(
    const Call& call,
    Holdings& holdings,
    TimePoint now) const {
  Candidates found;
  for (const NameHash hash : holdings.DispatchableBackends()) {
    const auto id = m_snapshot.FindBackend(hash);
    if (!id) {
      continue;
    }
    const BackendServer& backend = m_snapshot.Get(*id);
    if (m_snapshot.Get(backend.m_service).m_hash != call.m_service) {
      continue;
    }
    if (backend.m_leaving && m_safeguards.m_leaving_stops) {
      continue;
    }
    HeldBackend& held = *holdings.Dispatchable(hash);
    const uint32_t free = held.FreeSlots(now);
    found.m_held_slots += held.Slots();
    found.m_free_slots += free;
    const bool was_tried =
        std::find(call.m_tried_backends.begin(), call.m_tried_backends.end(),
                  hash) != call.m_tried_backends.end();
    if (free > 0 && !was_tried) {
      found.m_list.push_back(
          {&backend, &held, Score(backend, held, now), held.IsEjected(now)});
    }
  }
  return found;
}

ServiceSlots ChooseBackendFilter::CountSlots(NameHash service,
                                             Holdings& holdings,
                                             TimePoint now) const {
  ServiceSlots slots{service, 0, 0};
  if (m_snapshot.Get(m_own_place).m_leaving) {
    return slots;
  }
  for (const NameHash hash : holdings.DispatchableBackends()) {
    const auto id = m_snapshot.FindBackend(hash);
    if (!id || m_snapshot.Get(*id).m_leaving) {
      continue;
    }
    if (m_snapshot.Get(m_snapshot.Get(*id).m_service).m_hash != service) {
      continue;
    }
    HeldBackend& held = *holdings.Dispatchable(hash);
    slots.m_held += held.Slots();
    slots.m_free += held.IsEjected(now) ? 0 : held.FreeSlots(now);
  }
  return slots;
}

bool ChooseBackendFilter::IsShifted(const Call& call) const {
  return call.m_home_place &&
         *call.m_home_place != m_snapshot.Get(m_own_place).m_hash;
}

bool ChooseBackendFilter::IsFromOtherRegion(const Call& call) const {
  const auto home = call.m_home_place ? m_snapshot.FindPlace(*call.m_home_place)
                                      : std::nullopt;
  return home &&
         m_snapshot.Get(*home).m_region != m_snapshot.Get(m_own_place).m_region;
}

bool ChooseBackendFilter::TryCountShiftedRequest(const Call& call,
                                                 const BackendServer& backend,
                                                 HeldBackend& held,
                                                 LinkWindows& links,
                                                 TimePoint now) const {
  if (!m_safeguards.m_shift_cap) {
    return true;
  }
  const auto home = m_snapshot.FindPlace(*call.m_home_place);
  if (!home) {
    return false;
  }
  const RegionId from = m_snapshot.Get(*home).m_region;
  const RegionId here = m_snapshot.Get(m_own_place).m_region;
  RateWindow* link = nullptr;
  if (from != here && m_snapshot.HasLinkCap(from, here)) {
    link = &links[{backend.m_hash, m_snapshot.m_regions[from.Get()].m_hash}];
    if (link->Count(now) >= backend.m_link_shares[from.Get()]) {
      return false;
    }
  }
  if (!held.TryCountShifted(backend.m_shift_share, now)) {
    return false;
  }
  if (link != nullptr) {
    const bool taken = link->TryTake(backend.m_link_shares[from.Get()], now);
    Invariant(taken, "a link's cap is not exceeded");
  }
  return true;
}

double ChooseBackendFilter::Score(const BackendServer& backend,
                                  HeldBackend& held,
                                  TimePoint now) const {
  const Policy& policy = m_snapshot.m_policy;
  const Duration expected = m_snapshot.Get(backend.m_service).m_expected_run;
  const double latency =
      ToMilliseconds(held.RunTime()) / std::max(1.0, ToMilliseconds(expected));
  const double busy =
      static_cast<double>(held.InFlight(now)) / std::max(1U, held.Slots());
  return policy.m_latency_weight * latency + policy.m_headroom_weight * busy;
}

}  // namespace sorrelplank
