/// @file refusal.cc Lookup in the refusal table.

#include "core/refusal_type.h"

#include <cassert>

#include "table/refusal_table.h"

namespace sorrelplank {

const RefusalRow& DescribeRefusal(RefusalReason reason) {
  const RefusalRow& row = kRefusalTable.at(static_cast<size_t>(reason));
  assert(row.m_reason == reason);
  return row;
}

}  // namespace sorrelplank
