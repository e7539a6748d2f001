/// @file client_blocks_bench.cc Longest-prefix match with as many client blocks
/// as are planned for.

#include "bench/client_blocks_bench.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <vector>

#include "bench/bench_report.h"
#include "core/client_block_map.h"

namespace sorrelplank {

namespace {

constexpr size_t kBlocks = 830000;
constexpr uint16_t kSites = 73;
constexpr size_t kLookups = 4000000;

/// Client blocks like those of a company's address plan: /16 to /24, some
/// nested, neighbouring blocks often with the same place.
std::vector<ClientBlock> MakeBlocks() {
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> prefix(18, 24);
  std::uniform_int_distribution<uint16_t> place(0, kSites - 1);
  std::uniform_int_distribution<uint32_t> address;
  std::map<std::pair<uint32_t, uint8_t>, uint16_t> unique;
  while (unique.size() < kBlocks) {
    const auto bits = static_cast<uint8_t>(prefix(random));
    const uint32_t mask = ~uint32_t{0} << (32U - bits);
    unique[{address(random) & mask, bits}] = place(random);
  }
  std::vector<ClientBlock> blocks;
  blocks.reserve(unique.size());
  for (const auto& [block, at] : unique) {
    blocks.push_back({block.first, block.second, PlaceId(at)});
  }
  return blocks;
}

/// Returns the nanoseconds per lookup. The sum of the results keeps the
/// compiler from optimizing the lookups away.
template <typename Find>
double TimeLookups(const std::vector<uint32_t>& addresses, Find find) {
  uint64_t sum = 0;
  const auto started = std::chrono::steady_clock::now();
  for (const uint32_t address : addresses) {
    sum += find(address);
  }
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - started;
  volatile uint64_t sink = sum;
  (void)sink;
  return took.count() / static_cast<double>(addresses.size());
}

}  // namespace

void BenchClientBlocks() {
  const std::vector<ClientBlock> blocks = MakeBlocks();
  const auto started = std::chrono::steady_clock::now();
  const ClientBlockMap map(blocks);
  const std::chrono::duration<double, std::milli> build =
      std::chrono::steady_clock::now() - started;

  // Both baselines use the same disjoint ranges, given by their first address.
  std::vector<std::pair<uint32_t, uint16_t>> ranges;
  std::map<uint32_t, uint16_t> tree;
  uint16_t last = 0xFFFF;
  std::vector<uint32_t> edges;
  edges.reserve(blocks.size() * 2);
  for (const ClientBlock& block : blocks) {
    edges.push_back(block.m_address);
    edges.push_back(block.m_address + (1U << (32U - block.m_prefix)));
  }
  std::sort(edges.begin(), edges.end());
  ranges.emplace_back(0, 0xFFFF);
  for (const uint32_t edge : edges) {
    const auto place = map.Find(edge);
    const uint16_t value = place ? place->Get() : 0xFFFF;
    if (value != last) {
      ranges.emplace_back(edge, value);
      last = value;
    }
  }
  tree.insert(ranges.begin(), ranges.end());

  std::mt19937_64 random(2);
  std::uniform_int_distribution<uint32_t> any;
  std::vector<uint32_t> addresses(kLookups);
  std::generate(addresses.begin(), addresses.end(),
                [&] { return any(random); });
  const double client_block_map_ns =
      TimeLookups(addresses, [&](uint32_t address) {
        const auto place = map.Find(address);
        return place ? place->Get() : 0;
      });
  const double binary_search_ns = TimeLookups(addresses, [&](uint32_t address) {
    const auto it = std::upper_bound(
        ranges.begin(), ranges.end(), address,
        [](uint32_t a, const auto& range) { return a < range.first; });
    return std::prev(it)->second;
  });
  const double std_map_ns = TimeLookups(addresses, [&](uint32_t address) {
    return std::prev(tree.upper_bound(address))->second;
  });
  const double bytes = static_cast<double>(map.MemoryBytes());
  constexpr double kTreeNodeBytes = 48;
  ReportBench("client_blocks_lookup_vs_binary_search", client_block_map_ns,
              "ns", binary_search_ns);
  ReportBench("client_blocks_lookup_vs_std_map", client_block_map_ns, "ns",
              std_map_ns);
  ReportBench("client_blocks_memory_vs_std_map", bytes, "bytes",
              kTreeNodeBytes * static_cast<double>(tree.size()));
  ReportBench("client_blocks_build", build.count(), "ms", build.count());
}

}  // namespace sorrelplank
