/// @file client_blocks_bench.h Benchmark of client block lookups.

#ifndef SORRELPLANK_BENCH_CLIENT_BLOCKS_BENCH_H_
#define SORRELPLANK_BENCH_CLIENT_BLOCKS_BENCH_H_

namespace sorrelplank {

/// Measures lookups in 830,000 blocks of 73 sites; the baselines are a binary
/// search and a std::map.
void BenchClientBlocks();

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_CLIENT_BLOCKS_BENCH_H_
