/// @file decision_bench.h Benchmarks of decisions and of heartbeats.

#ifndef SORRELPLANK_BENCH_DECISION_BENCH_H_
#define SORRELPLANK_BENCH_DECISION_BENCH_H_

namespace sorrelplank {

/// Measures one decision in fleets of several sizes, up to 73 sites with 710
/// entry VMs.
void BenchDecisions();

/// Measures the heartbeats of one entry VM in fleets of several sizes: CPU
/// time, bytes and memory. docs/CAPACITY.md derives its slopes from these
/// figures.
void BenchControl();

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_DECISION_BENCH_H_
