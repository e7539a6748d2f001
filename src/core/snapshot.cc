/// @file snapshot.cc Index and lookups of a snapshot.

#include "core/snapshot_type.h"

#include <algorithm>

namespace sorrelplank {

namespace {

template <typename Id, typename Row>
void FillIndex(const std::vector<Row>& rows,
               std::unordered_map<NameHash, Id>& index) {
  index.clear();
  for (size_t row = 0; row < rows.size(); ++row) {
    index[rows[row].m_hash] = Id(static_cast<typename Id::RepType>(row));
  }
}

template <typename Id>
std::optional<Id> FindIn(const std::unordered_map<NameHash, Id>& index,
                         NameHash hash) {
  const auto it = index.find(hash);
  return it == index.end() ? std::nullopt : std::optional<Id>(it->second);
}

}  // namespace

void Snapshot::IndexNames() {
  FillIndex(m_services, m_service_ids);
  FillIndex(m_places, m_place_ids);
  FillIndex(m_backends, m_backend_ids);
}

std::optional<ServiceId> Snapshot::FindService(NameHash hash) const {
  return FindIn(m_service_ids, hash);
}

std::optional<PlaceId> Snapshot::FindPlace(NameHash hash) const {
  return FindIn(m_place_ids, hash);
}

std::optional<BackendId> Snapshot::FindBackend(NameHash hash) const {
  return FindIn(m_backend_ids, hash);
}

bool Snapshot::HasLinkCap(RegionId a, RegionId b) const {
  return std::any_of(m_links.begin(), m_links.end(),
                     [&](const RegionLink& link) {
                       return (link.m_a == a && link.m_b == b) ||
                              (link.m_a == b && link.m_b == a);
                     });
}

}  // namespace sorrelplank
