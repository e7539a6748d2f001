/// @file quota_bench.h Comparison of schemes that enforce a quota over all
/// entry VMs.

#ifndef SORRELPLANK_BENCH_QUOTA_BENCH_H_
#define SORRELPLANK_BENCH_QUOTA_BENCH_H_

namespace sorrelplank {

/// Measures what each scheme passes and refuses and how many messages it needs,
/// by number of VMs; and the time of a key lookup and of a quota decision.
void BenchQuotas();

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_QUOTA_BENCH_H_
