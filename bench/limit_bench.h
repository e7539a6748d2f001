/// @file limit_bench.h Limits of backend servers over all entry VMs, measured.

#ifndef SORRELPLANK_BENCH_LIMIT_BENCH_H_
#define SORRELPLANK_BENCH_LIMIT_BENCH_H_

namespace sorrelplank {

/// How near servers come to the bound on their limits, how much of a limit is
/// used, and what callers see, by sizes of fleets.
void BenchLimits();

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_LIMIT_BENCH_H_
