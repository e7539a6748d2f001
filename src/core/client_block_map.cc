/// @file client_block_map.cc Flattening and search of client blocks.

#include "core/client_block_map.h"

#include <algorithm>

#include "core/invariant_func.h"

namespace sorrelplank {

namespace {

constexpr size_t kBucketCount = 65536;
constexpr uint64_t kAddressSpace = uint64_t{1} << 32;

/// A flattened range; it ends where the next one starts.
struct Range {
  uint64_t m_start;
  uint16_t m_place;
};

/// First address after a block.
uint64_t EndOf(const ClientBlock& block) {
  return uint64_t{block.m_address} + (uint64_t{1} << (32 - block.m_prefix));
}

/// Appends a range, or replaces the last one if it starts at the same address.
/// Adjacent ranges of the same place are merged.
void PushRange(std::vector<Range>& ranges, uint64_t start, uint16_t place) {
  if (!ranges.empty() && ranges.back().m_start == start) {
    ranges.back().m_place = place;
    return;
  }
  if (!ranges.empty() && ranges.back().m_place == place) {
    return;
  }
  ranges.push_back({start, place});
}

/// Turns nested blocks into disjoint ranges, in one sweep with a stack of the
/// blocks that cover the current address.
std::vector<Range> Flatten(std::vector<ClientBlock>& blocks,
                           uint16_t no_place) {
  std::sort(blocks.begin(), blocks.end(),
            [](const ClientBlock& a, const ClientBlock& b) {
              if (a.m_address != b.m_address) {
                return a.m_address < b.m_address;
              }
              return a.m_prefix < b.m_prefix;
            });
  std::vector<Range> ranges;
  ranges.reserve(blocks.size() + blocks.size() / 4);
  ranges.push_back({0, no_place});
  std::vector<const ClientBlock*> open;
  auto close_until = [&](uint64_t address) {
    while (!open.empty() && EndOf(*open.back()) <= address) {
      const uint64_t end = EndOf(*open.back());
      open.pop_back();
      PushRange(ranges, end,
                open.empty() ? no_place : open.back()->m_place.Get());
    }
  };
  for (const ClientBlock& block : blocks) {
    close_until(block.m_address);
    open.push_back(&block);
    PushRange(ranges, block.m_address, block.m_place.Get());
  }
  close_until(kAddressSpace);
  if (ranges.back().m_start == kAddressSpace) {
    ranges.pop_back();
  }
  return ranges;
}

}  // namespace

ClientBlockMap::ClientBlockMap(std::vector<ClientBlock> blocks) {
  const std::vector<Range> ranges = Flatten(blocks, kNoPlace);
  m_buckets.reserve(kBucketCount + 1);
  m_starts.reserve(ranges.size() + kBucketCount);
  m_places.reserve(ranges.size() + kBucketCount);
  size_t next = 0;
  uint16_t current = kNoPlace;
  for (size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    m_buckets.push_back(static_cast<uint32_t>(m_starts.size()));
    const uint64_t low = uint64_t{bucket} << 16;
    // Each bucket starts with a range at offset 0, so that a search never
    // leaves its bucket.
    if (next == ranges.size() || ranges[next].m_start != low) {
      m_starts.push_back(0);
      m_places.push_back(current);
    }
    while (next < ranges.size() && (ranges[next].m_start >> 16) == bucket) {
      current = ranges[next].m_place;
      m_starts.push_back(static_cast<uint16_t>(ranges[next].m_start));
      m_places.push_back(current);
      ++next;
    }
  }
  m_buckets.push_back(static_cast<uint32_t>(m_starts.size()));
  m_starts.shrink_to_fit();
  m_places.shrink_to_fit();
  Invariant(next == ranges.size(), "every client block range has a bucket");
}

std::optional<PlaceId> ClientBlockMap::Find(uint32_t address) const {
  if (m_buckets.empty()) {
    return std::nullopt;
  }
  const uint32_t bucket = address >> 16;
  const uint16_t low = static_cast<uint16_t>(address);
  const uint16_t* first = m_starts.data() + m_buckets[bucket];
  size_t count = m_buckets[bucket + 1] - m_buckets[bucket];
  // Branch-free binary search for the last start that is not above the address.
  while (count > 1) {
    const size_t half = count / 2;
    first += first[half] <= low ? half : 0;
    count -= half;
  }
  const uint16_t place = m_places[first - m_starts.data()];
  if (place == kNoPlace) {
    return std::nullopt;
  }
  return PlaceId(place);
}

size_t ClientBlockMap::MemoryBytes() const {
  return m_buckets.capacity() * sizeof(uint32_t) +
         m_starts.capacity() * sizeof(uint16_t) +
         m_places.capacity() * sizeof(uint16_t);
}

}  // namespace sorrelplank
