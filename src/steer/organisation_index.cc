/// @file organisation_index.cc Lookup by key and name.

#include "steer/organisation_index.h"

#include "steer/routing_table_type.h"

namespace sorrelplank {

OrganisationIndex::OrganisationIndex(const RoutingTable& table) {
  if (!table.m_organisations) {
    return;
  }
  for (const Organisation& organisation : *table.m_organisations) {
    m_by_name[HashOrganisation(organisation.m_name)] = &organisation;
    for (const std::string& key : organisation.m_keys) {
      m_by_key[key] = &organisation;
    }
  }
}

const Organisation* OrganisationIndex::FindByName(QuotaSubject name) const {
  const auto it = m_by_name.find(name);
  return it == m_by_name.end() ? nullptr : it->second;
}

const Organisation* OrganisationIndex::Find(const std::string& key) const {
  const auto it = m_by_key.find(key);
  return it == m_by_key.end() ? nullptr : it->second;
}

}  // namespace sorrelplank
