/// @file limit_bench.h Measurement of backend servers' limits over all entry
/// VMs.

#ifndef SORRELPLANK_BENCH_LIMIT_BENCH_H_
#define SORRELPLANK_BENCH_LIMIT_BENCH_H_

namespace sorrelplank {

/// Measures for several fleet sizes how close servers come to the bound on
/// their limits, how much of a limit is used, and the responses to callers.
void BenchLimits();

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_LIMIT_BENCH_H_
