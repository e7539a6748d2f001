/// @file client_block_map.h Lookup of a caller's home place by its address.

#ifndef SORRELPLANK_CORE_CLIENT_BLOCK_MAP_H_
#define SORRELPLANK_CORE_CLIENT_BLOCK_MAP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids_type.h"

namespace sorrelplank {

/// A block of IPv4 addresses whose callers have the same home place.
struct ClientBlock {
  uint32_t m_address = 0;
  uint8_t m_prefix = 0;
  PlaceId m_place;
};

/// Longest-prefix match over client blocks.
///
/// Nested blocks are flattened into disjoint ranges. The upper 16 bits of an
/// address select a bucket; a binary search over the lower 16 bits of the range
/// starts in that bucket finds the range. A bucket rarely exceeds one cache
/// line.
class ClientBlockMap {
 public:
  ClientBlockMap() = default;
  /// The blocks may come in any order. There must be no equal blocks; the
  /// configuration check refuses them.
  explicit ClientBlockMap(std::vector<ClientBlock> blocks);

  /// Returns the home place of an address, if a block covers it.
  std::optional<PlaceId> Find(uint32_t address) const;

  /// Memory used, in bytes.
  size_t MemoryBytes() const;

  /// Number of ranges after flattening and splitting at bucket starts.
  size_t RangeCount() const { return m_starts.size(); }

 private:
  static constexpr uint16_t kNoPlace = 0xFFFF;

  std::vector<uint32_t> m_buckets;  // 65,537 offsets into m_starts.
  std::vector<uint16_t> m_starts;   // Lower 16 bits, ascending per bucket.
  std::vector<uint16_t> m_places;   // Same index as m_starts.
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_CLIENT_BLOCK_MAP_H_
