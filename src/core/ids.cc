/// @file ids.cc Hashing of names.

#include "core/ids_type.h"

#include <xxhash.h>

namespace sorrelplank {

NameHash HashName(const std::string& name) {
  return NameHash(static_cast<uint32_t>(XXH3_64bits(name.data(), name.size())));
}

QuotaSubject HashOrganisation(const std::string& name) {
  return QuotaSubject(XXH3_64bits(name.data(), name.size()));
}

}  // namespace sorrelplank
