/// @file lookup_table.cc Construction of the lookup lists and gradual shifts.

#include "core/lookup_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "core/route_table.h"

namespace sorrelplank {

namespace {

/// Maximum number of entry VMs in one answer.
constexpr size_t kMaxVmsPerAnswer = 4;
/// A shift reaches its full percentage after this many lookup TTLs.
constexpr int64_t kShiftRampSteps = 4;

LookupVm ToLookupVm(const VmRecord& record) {
  return {record.m_name, record.m_incarnation, record.m_address.m_ip,
          record.m_caller_port};
}

/// Hashes a caller's address to a stable number below the limit.
uint32_t HashCaller(uint32_t caller_ip, uint64_t seed, uint32_t limit) {
  return static_cast<uint32_t>(
      XXH3_64bits_withSeed(&caller_ip, sizeof(caller_ip), seed) % limit);
}

}  // namespace

void LookupTable::Build(std::shared_ptr<const Snapshot> snapshot,
                        const Membership& membership,
                        const VmRecord& self,
                        TimePoint now) {
  m_snapshot = std::move(snapshot);
  std::vector<std::pair<PlaceId, LookupVm>> usable;
  auto add = [&](const VmRecord& record) {
    const auto place = m_snapshot->FindPlace(record.m_place);
    if (place && record.m_ready && !record.m_leaving) {
      usable.emplace_back(*place, ToLookupVm(record));
    }
  };
  add(self);
  for (const auto& [name, member] : membership.All()) {
    if (membership.IsAlive(member, now)) {
      add(member.m_record);
    }
  }
  std::sort(usable.begin(), usable.end(), [](const auto& a, const auto& b) {
    return a.second.m_name < b.second.m_name;
  });
  m_lists.assign(m_snapshot->m_places.size(), {});
  for (size_t index = 0; index < m_lists.size(); ++index) {
    const PlaceId place(static_cast<uint16_t>(index));
    auto rank = [&](PlaceId other) {
      // Entry VMs of a leaving place come last, as they forward every request.
      const int leaving = m_snapshot->Get(other).m_leaving ? 8 : 0;
      if (other == place) {
        return leaving;
      }
      const bool same_region =
          m_snapshot->Get(other).m_region == m_snapshot->Get(place).m_region;
      return leaving + (same_region ? 1 : 2);
    };
    auto sorted = usable;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [&](const auto& a, const auto& b) {
                       return rank(a.first) < rank(b.first);
                     });
    PlaceList& list = m_lists[index];
    for (auto& [other, vm] : sorted) {
      list.m_local_count += other == place ? 1 : 0;
      list.m_vms.push_back(std::move(vm));
    }
    if (m_snapshot->Get(place).m_leaving) {
      list.m_local_count = 0;
    }
  }
}

LookupAnswer LookupTable::Find(uint32_t caller_ip, Duration elapsed) const {
  LookupAnswer answer;
  if (!m_snapshot) {
    return answer;
  }
  answer.m_ttl = m_snapshot->m_policy.m_lookup_ttl;
  answer.m_version = m_snapshot->m_version;
  answer.m_home = m_snapshot->m_client_blocks.Find(caller_ip);
  if (m_lists.empty()) {
    return answer;
  }
  // A caller outside all client blocks still gets an answer, since any place
  // can serve it.
  const PlaceId home = answer.m_home.value_or(
      PlaceId(static_cast<uint16_t>(HashCaller(caller_ip, 0, m_lists.size()))));
  answer.m_place = PlaceAfterShifts(home, caller_ip, elapsed);
  const PlaceList& list = m_lists[answer.m_place->Get()];
  const size_t local = list.m_local_count;
  const size_t count = std::min(kMaxVmsPerAnswer, list.m_vms.size());
  const size_t first = local > 0 ? HashCaller(caller_ip, 1, local) : 0;
  for (size_t index = 0; index < count; ++index) {
    // Callers start at different VMs of their place, which spreads the load.
    const size_t at = index < local ? (first + index) % local : index;
    answer.m_vms.push_back(list.m_vms[at]);
  }
  return answer;
}

PlaceId LookupTable::PlaceAfterShifts(PlaceId home,
                                      uint32_t caller_ip,
                                      Duration elapsed) const {
  const Duration ttl = std::max(Duration(1), m_snapshot->m_policy.m_lookup_ttl);
  const int64_t steps = std::min<int64_t>(kShiftRampSteps, elapsed / ttl + 1);
  uint32_t taken = 0;
  const uint32_t position = HashCaller(caller_ip, 2, 100);
  for (const Shift& shift : m_snapshot->m_shifts) {
    if (shift.m_from != home || m_snapshot->Get(shift.m_to).m_leaving) {
      continue;
    }
    // A cached answer keeps its caller at the old place for one TTL. Hence each
    // step lasts one TTL: clients have dropped the answers of the step before.
    // Without the wait the last step would move all callers at once.
    const auto share =
        static_cast<uint32_t>(shift.m_percent * steps / kShiftRampSteps);
    if (position >= taken && position < taken + share) {
      return shift.m_to;
    }
    taken += shift.m_percent;
  }
  return home;
}

}  // namespace sorrelplank
