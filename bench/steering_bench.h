/// @file steering_bench.h Benchmark of the periodic work of the steering code.

#ifndef SORRELPLANK_BENCH_STEERING_BENCH_H_
#define SORRELPLANK_BENCH_STEERING_BENCH_H_

namespace sorrelplank {

/// Measures the update of the region measurements, which runs ten times per
/// second, in a large fleet: in normal operation, while the store is
/// unreachable, and while servers are cold.
void BenchSteering();

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_STEERING_BENCH_H_
