/// @file refusal_type.h Reasons for refusing a request.

#ifndef SORRELPLANK_CORE_REFUSAL_TYPE_H_
#define SORRELPLANK_CORE_REFUSAL_TYPE_H_

#include <cstdint>

namespace sorrelplank {

/// Refusal reasons as shown to callers and operators, in the order of
/// table/refusal_table.h.
enum class RefusalReason : uint8_t {
  kUnknownService,    ///< No such service in the configuration in force.
  kBodyTooLarge,      ///< The body exceeds the service's limit.
  kNotReady,          ///< This entry VM has no configuration yet.
  kNoCapacity,        ///< No free slot that it may take, and no room to queue.
  kDeadlineTooShort,  ///< It could not be answered before its deadline.
  kDeadlinePassed,    ///< The deadline passed while it waited or ran.
  kBackendFailed,     ///< Attempts failed and no further one is allowed.
  kRepeatInProgress,  ///< A request with the same key is in progress.
  kRepeatUnsure,      ///< An earlier request with this key may have run.
  kRepeatAnswerGone,  ///< It ran, but its answer is no longer stored.
  kSuperseded,        ///< A repeat of it was already accepted elsewhere.
  kCallerLeft,        ///< The caller closed the connection.
  kStopping,          ///< This entry VM is about to exit.
  kCount
};

/// One row of the refusal table.
struct RefusalRow {
  RefusalReason m_reason;
  int m_http_status;
  const char* m_name;
  const char* m_help;
};

/// Returns the row of a reason.
const RefusalRow& DescribeRefusal(RefusalReason reason);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_REFUSAL_TYPE_H_
