/// @file organisation_index.h Finds the organisation that holds a key.

#ifndef SORRELPLANK_STEER_ORGANISATION_INDEX_H_
#define SORRELPLANK_STEER_ORGANISATION_INDEX_H_

#include <string>
#include <unordered_map>

#include "core/ids_type.h"

namespace sorrelplank {

struct Organisation;
struct RoutingTable;

/// Organisations by key.
class OrganisationIndex {
 public:
  /// The table must outlive the index.
  explicit OrganisationIndex(const RoutingTable& table);

  /// The organisation that holds the key, or nullptr.
  const Organisation* Find(const std::string& key) const;
  const Organisation* FindByName(QuotaSubject name) const;

 private:
  std::unordered_map<std::string, const Organisation*> m_by_key;
  std::unordered_map<QuotaSubject, const Organisation*> m_by_name;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_ORGANISATION_INDEX_H_
