/// @file client_block_map_test.cc Longest-prefix match compared with a linear
/// search.

#include "core/client_block_map.h"

#include <criterion/criterion.h>

#include <random>
#include <vector>

namespace sorrelplank {
namespace {

std::vector<ClientBlock> g_blocks;

void SetUp() {
  std::mt19937_64 random(3);
  std::uniform_int_distribution<int> prefix(0, 32);
  std::uniform_int_distribution<uint16_t> place(0, 9);
  std::uniform_int_distribution<uint32_t> address;
  for (int count = 0; count < 400; ++count) {
    const auto bits = static_cast<uint8_t>(prefix(random));
    const uint32_t mask = bits == 0 ? 0 : ~uint32_t{0} << (32U - bits);
    const uint32_t start = address(random) & mask;
    bool is_new = true;
    for (const ClientBlock& block : g_blocks) {
      is_new &= block.m_address != start || block.m_prefix != bits;
    }
    if (is_new) {
      g_blocks.push_back({start, bits, PlaceId(place(random))});
    }
  }
}

/// Linear search for the longest block that covers an address.
std::optional<PlaceId> SearchAll(uint32_t address) {
  std::optional<PlaceId> best;
  int best_prefix = -1;
  for (const ClientBlock& block : g_blocks) {
    const uint32_t mask =
        block.m_prefix == 0 ? 0 : ~uint32_t{0} << (32U - block.m_prefix);
    if ((address & mask) == block.m_address && block.m_prefix > best_prefix) {
      best = block.m_place;
      best_prefix = block.m_prefix;
    }
  }
  return best;
}

TestSuite(ClientBlockMap, .init = SetUp);

Test(ClientBlockMap, RandomBlocks_RandomAddresses_EqualToPlainSearch) {
  const ClientBlockMap map(g_blocks);
  std::mt19937_64 random(4);
  std::uniform_int_distribution<uint32_t> any;
  for (int count = 0; count < 20000; ++count) {
    const uint32_t address = any(random);
    cr_assert(map.Find(address) == SearchAll(address), "%u", address);
  }
}

Test(ClientBlockMap, EdgesOfBlocks_BothSides_EqualToPlainSearch) {
  const ClientBlockMap map(g_blocks);
  for (const ClientBlock& block : g_blocks) {
    for (const uint32_t address :
         {block.m_address - 1, block.m_address, block.m_address + 1}) {
      cr_assert(map.Find(address) == SearchAll(address), "%u", address);
    }
  }
}

Test(ClientBlockMap, NoBlocks_AnyAddress_HasNoHome) {
  cr_assert_not(ClientBlockMap().Find(1).has_value());
  cr_assert_not(ClientBlockMap(std::vector<ClientBlock>()).Find(1).has_value());
}

Test(ClientBlockMap, WholeSpace_LastAddress_IsCovered) {
  const ClientBlockMap map(std::vector<ClientBlock>{{0, 0, PlaceId(3)}});
  cr_assert(map.Find(0xFFFFFFFFU) == PlaceId(3));
}

}  // namespace
}  // namespace sorrelplank
