/// @file quota_bench.h Ways to hold a limit over all entry VMs, compared.

#ifndef SORRELPLANK_BENCH_QUOTA_BENCH_H_
#define SORRELPLANK_BENCH_QUOTA_BENCH_H_

namespace sorrelplank {

/// What each way lets pass and refuses, by number of VMs, and what it costs;
/// and the time that a look-up of a key and a decision take.
void BenchQuotas();

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_QUOTA_BENCH_H_
