/// @file membership.cc Merging of VM records and failure detection.

#include "core/membership.h"

#include <utility>

#include "core/timing_type.h"

namespace sorrelplank {

Membership::Membership(VmName self, NameHash place, Incarnation incarnation)
    : m_self(std::move(self)), m_place(place), m_own_incarnation(incarnation) {}

MergeResult Membership::Merge(const VmRecord& record, TimePoint now) {
  if (record.m_name == m_self) {
    return record.m_incarnation > m_own_incarnation
               ? MergeResult::kNewerIncarnationOfSelf
               : MergeResult::kStale;
  }
  const auto [it, is_new] = m_members.try_emplace(record.m_name);
  Member& member = it->second;
  const VmRecord& known = member.m_record;
  const bool restarted = is_new || record.m_incarnation > known.m_incarnation;
  const bool advanced = record.m_incarnation == known.m_incarnation &&
                        record.m_sequence > known.m_sequence;
  if (!restarted && !advanced) {
    return MergeResult::kStale;
  }
  member.m_record = record;
  member.m_heard = now;
  if (restarted) {
    member.m_slot_estimates.clear();
  }
  for (const ServiceSlots& slots : record.m_slots) {
    SlotEstimate& estimate = member.m_slot_estimates[slots.m_service];
    estimate.m_held = slots.m_held;
    estimate.m_free = slots.m_free;
  }
  return restarted ? MergeResult::kRestarted : MergeResult::kAdvanced;
}

bool Membership::IsAlive(const Member& member, TimePoint now) const {
  const Duration timeout =
      member.m_record.m_place == m_place ? kSiblingTimeout : kRemoteTimeout;
  return now - member.m_heard < timeout;
}

Member* Membership::Find(const VmName& name) {
  const auto it = m_members.find(name);
  return it == m_members.end() ? nullptr : &it->second;
}

std::vector<const Member*> Membership::LiveSiblings(TimePoint now) const {
  return LiveOf(m_place, now);
}

std::vector<const Member*> Membership::LiveOf(NameHash place,
                                              TimePoint now) const {
  std::vector<const Member*> live;
  for (const auto& [name, member] : m_members) {
    if (member.m_record.m_place == place && IsAlive(member, now)) {
      live.push_back(&member);
    }
  }
  return live;
}

void Membership::UpdateSlotEstimate(const VmName& name,
                                    const ServiceSlots& slots,
                                    TimePoint retry_at) {
  Member* member = Find(name);
  if (member == nullptr) {
    return;
  }
  SlotEstimate& estimate = member->m_slot_estimates[slots.m_service];
  estimate.m_held = slots.m_held;
  estimate.m_free = slots.m_free;
  estimate.m_retry_at = retry_at;
}

bool Membership::RemoveExpired(TimePoint now) {
  return std::erase_if(m_members, [&](const auto& entry) {
           return now - entry.second.m_heard > kMemberExpiry;
         }) > 0;
}

}  // namespace sorrelplank
