/// @file path_bench.h Benchmark of the whole request path on loopback.

#ifndef SORRELPLANK_BENCH_PATH_BENCH_H_
#define SORRELPLANK_BENCH_PATH_BENCH_H_

#include <string>

namespace sorrelplank {

/// Compares lookups with a plain HTTP handler and proxied requests with direct
/// calls of the backend stand-in, and measures the resident size of an idle
/// process.
void BenchPath(const std::string& binaries, const std::string& examples);

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_PATH_BENCH_H_
