/// @file client_directory.cc Kept choices.

#include "proxy/client_directory.h"

#include <utility>

#include "proxy/directory_func.h"

namespace sorrelplank {

namespace {

/// Kept choices; a client may write anything into a query.
constexpr size_t kMostKept = 256;

std::string KeyOf(const DirectoryQuery& query) {
  std::string key = query.m_region + '\n' + query.m_failure_domain;
  for (const std::string& home : query.m_home_regions) {
    key += '\n' + home;
  }
  return key;
}

}  // namespace

void ClientDirectory::SetFleet(std::vector<FleetMember> fleet) {
  m_fleet = std::move(fleet);
  m_addresses.clear();
}

const std::vector<std::string>& ClientDirectory::AddressesFor(
    const DirectoryQuery& query) {
  const std::string key = KeyOf(query);
  const auto known = m_addresses.find(key);
  if (known != m_addresses.end()) {
    return known->second;
  }
  if (m_addresses.size() >= kMostKept) {
    m_addresses.clear();
  }
  ++m_choices;
  return m_addresses[key] = ChooseAddresses(m_fleet, query);
}

}  // namespace sorrelplank
