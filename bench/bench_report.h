/// @file bench_report.h Output of measurements.

#ifndef SORRELPLANK_BENCH_BENCH_REPORT_H_
#define SORRELPLANK_BENCH_BENCH_REPORT_H_

#include <iostream>
#include <string>

namespace sorrelplank {

/// Prints a measured value, its baseline and their ratio (0 if the baseline is
/// 0).
inline void ReportBench(const std::string& name,
                        double value,
                        const char* unit,
                        double baseline) {
  std::cout << "bench: " << name << " value=" << value << " unit=" << unit
            << " baseline=" << baseline
            << " ratio=" << (baseline == 0 ? 0 : value / baseline) << std::endl;
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_BENCH_BENCH_REPORT_H_
