/// @file organisation_index.h Lookup of organisations by key and name.

#ifndef SORRELPLANK_STEER_ORGANISATION_INDEX_H_
#define SORRELPLANK_STEER_ORGANISATION_INDEX_H_

#include <string>
#include <unordered_map>

#include "core/ids_type.h"

namespace sorrelplank {

struct Organisation;
struct RoutingTable;

/// Organisations by API key and by hashed name.
class OrganisationIndex {
 public:
  /// The table must outlive the index.
  explicit OrganisationIndex(const RoutingTable& table);

  /// The organisation with the key, or nullptr.
  const Organisation* Find(const std::string& key) const;
  /// The organisation with the hashed name, or nullptr.
  const Organisation* FindByName(QuotaSubject name) const;

 private:
  std::unordered_map<std::string, const Organisation*> m_by_key;
  std::unordered_map<QuotaSubject, const Organisation*> m_by_name;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ORGANISATION_INDEX_H_
