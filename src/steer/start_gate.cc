/// @file start_gate.cc State of the clients' port.

#include "steer/start_gate.h"

namespace sorrelplank {

StartGate::Step StartGate::Update(bool has_table, TimePoint now) {
  if (m_is_open == has_table) {
    return Step::kNone;
  }
  if (has_table) {
    m_is_open = true;
    return Step::kOpen;
  }
  if (now - m_started < kMaxHoldTime) {
    return Step::kNone;
  }
  m_is_open = false;
  return Step::kClose;
}

}  // namespace sorrelplank
