/// @file spread_bench.h Benchmark of the control traffic and of the propagation
/// of configuration changes, with real processes.

#ifndef SORRELPLANK_BENCH_SPREAD_BENCH_H_
#define SORRELPLANK_BENCH_SPREAD_BENCH_H_

#include <string>

namespace sorrelplank {

/// Measures idle fleets of 2 to 12 entry VMs: CPU time, memory, bytes and
/// platform calls; and the time until a change is in force in all of 12 VMs.
void BenchSpread(const std::string& binaries, const std::string& examples);

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_SPREAD_BENCH_H_
