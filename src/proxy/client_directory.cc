/// @file client_directory.cc Cache of directory answers.

#include "proxy/client_directory.h"

#include <utility>

#include "proxy/directory_func.h"

namespace sorrelplank {

namespace {

/// Bounds the cache, since clients may send arbitrary query values.
constexpr size_t kMaxCachedQueries = 256;

std::string CacheKey(const DirectoryQuery& query) {
  std::string key = query.m_region + '\n' + query.m_failure_domain;
  for (const std::string& home : query.m_home_regions) {
    key += '\n' + home;
  }
  return key;
}

}  // namespace

void ClientDirectory::SetFleet(std::vector<FleetMember> fleet) {
  m_fleet = std::move(fleet);
  m_cached_addresses.clear();
}

const std::vector<std::string>& ClientDirectory::AddressesFor(
    const DirectoryQuery& query) {
  const std::string key = CacheKey(query);
  const auto cached = m_cached_addresses.find(key);
  if (cached != m_cached_addresses.end()) {
    return cached->second;
  }
  if (m_cached_addresses.size() >= kMaxCachedQueries) {
    m_cached_addresses.clear();
  }
  ++m_cache_misses;
  return m_cached_addresses[key] = ChooseAddresses(m_fleet, query);
}

}  // namespace sorrelplank
