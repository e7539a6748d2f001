/// @file classify_filter.h First filter: determines service, caller and
/// deadline.

#ifndef SORRELPLANK_PIPELINE_CLASSIFY_FILTER_H_
#define SORRELPLANK_PIPELINE_CLASSIFY_FILTER_H_

#include <variant>

#include "core/call_type.h"
#include "core/refusal_type.h"
#include "core/snapshot_type.h"

namespace sorrelplank {

/// Classifies an incoming call, or refuses it.
class ClassifyFilter {
 public:
  explicit ClassifyFilter(const Snapshot& snapshot) : m_snapshot(snapshot) {}

  std::variant<Call, RefusalReason> Apply(const IncomingCall& incoming,
                                          TimePoint now) const;

 private:
  const Snapshot& m_snapshot;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PIPELINE_CLASSIFY_FILTER_H_
