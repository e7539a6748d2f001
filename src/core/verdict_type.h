/// @file verdict_type.h Whether a request may have run.

#ifndef SORRELPLANK_CORE_VERDICT_TYPE_H_
#define SORRELPLANK_CORE_VERDICT_TYPE_H_

#include <cstdint>

namespace sorrelplank {

/// What is known about whether a request ran at a backend server. The values
/// are sent between processes; never renumber them.
enum class Verdict : uint8_t {
  kNotRun = 0,      ///< It certainly did not run; a retry is safe.
  kMayHaveRun = 1,  ///< It may have run; only idempotent requests are retried.
  kRan = 2,         ///< A backend server ran it and answered.
};

/// Returns the name of the verdict in the response header.
const char* VerdictName(Verdict verdict);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_VERDICT_TYPE_H_
