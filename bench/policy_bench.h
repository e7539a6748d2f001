/// @file policy_bench.h Comparison of selection policies under load and faults.

#ifndef SORRELPLANK_BENCH_POLICY_BENCH_H_
#define SORRELPLANK_BENCH_POLICY_BENCH_H_

#include <cstdint>
#include <string>

namespace sorrelplank {

/// Compares the product and the baselines with the oracle, for several loads
/// and faults in both deployments.
void BenchPolicy(const std::string& examples, uint64_t requests);

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_POLICY_BENCH_H_
