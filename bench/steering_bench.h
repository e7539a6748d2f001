/// @file steering_bench.h Cost of the routed decisions between requests.

#ifndef SORRELPLANK_BENCH_STEERING_BENCH_H_
#define SORRELPLANK_BENCH_STEERING_BENCH_H_

namespace sorrelplank {

/// Measuring the regions, ten times a second, in a large fleet: while all is
/// well, while the store is out of reach, and while servers are cold.
void BenchSteering();

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_STEERING_BENCH_H_
