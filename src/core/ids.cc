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

QuotaSubject HashServer(const std::string& name) {
  // Seeded, to differ from the hash of an organisation of the same name.
  constexpr uint64_t kSeed = 1;
  return QuotaSubject(XXH3_64bits_withSeed(name.data(), name.size(), kSeed));
}

}  // namespace sorrelplank
