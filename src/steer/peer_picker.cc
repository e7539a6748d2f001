/// @file peer_picker.cc Distance, requests in flight, and VMs to avoid.

#include "steer/peer_picker.h"

#include <tuple>

#include "steer/steering_settings_type.h"

namespace sorrelplank {

namespace {

/// Requests in flight that a VM may have more than a farther one. The VMs of
/// the own failure domain have probably lost the servers as well.
constexpr size_t kOwnDomainCost = 2;
constexpr size_t kOtherRegionCost = 8;
/// How long a VM that could not serve a request is not picked.
constexpr Duration kAvoidTime = milliseconds(500);

}  // namespace

size_t PeerPicker::DistanceCost(const FleetMember& member) const {
  if (member.m_region != m_settings.m_region) {
    return kOtherRegionCost;
  }
  return member.m_failure_domain == m_settings.m_failure_domain ? kOwnDomainCost
                                                                : 0;
}

const FleetMember* PeerPicker::Pick(const std::vector<FleetMember>& fleet,
                                    const Filter& is_allowed,
                                    TimePoint now) const {
  const FleetMember* best = nullptr;
  std::tuple<size_t, TimePoint> best_rank;
  for (const FleetMember& member : fleet) {
    if (member.m_vm == m_settings.m_vm || !is_allowed(member)) {
      continue;
    }
    const auto it = m_peers.find(member.m_vm);
    const Peer peer = it == m_peers.end() ? Peer() : it->second;
    if (now < peer.m_avoid_until) {
      continue;
    }
    const std::tuple rank(peer.m_in_flight + DistanceCost(member),
                          peer.m_last_sent);
    if (best == nullptr || rank < best_rank) {
      best = &member;
      best_rank = rank;
    }
  }
  return best;
}

void PeerPicker::CountSend(const std::string& vm, TimePoint now) {
  Peer& peer = m_peers[vm];
  ++peer.m_in_flight;
  peer.m_last_sent = now;
}

void PeerPicker::CountEnd(const std::string& vm,
                          bool was_available,
                          TimePoint now) {
  Peer& peer = m_peers[vm];
  --peer.m_in_flight;
  peer.m_avoid_until = was_available ? TimePoint() : now + kAvoidTime;
}

}  // namespace sorrelplank
