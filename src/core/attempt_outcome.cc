/// @file attempt_outcome.cc Lookup in the outcome table and verdict names.

#include "core/attempt_outcome_type.h"

#include <cassert>

#include "table/outcome_table.h"

namespace sorrelplank {

const char* VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

const OutcomeRow& DescribeOutcome(AttemptOutcome outcome) {
  const OutcomeRow& row = kOutcomeTable.at(static_cast<size_t>(outcome));
  assert(row.m_outcome == outcome);
  return row;
}

}  // namespace sorrelplank
