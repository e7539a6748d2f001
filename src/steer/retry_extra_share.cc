/// @file retry_extra_share.cc Growth with age, and division by the VMs known
/// within the window.

#include "steer/retry_extra_share.h"

#include <algorithm>

namespace sorrelplank {

void RetryExtraShare::SetVms(size_t vms, TimePoint now) {
  if (!m_started) {
    m_started = now;
  }
  std::erase_if(m_past,
                [now](const PastCount& past) { return past.m_until <= now; });
  if (m_vms > vms) {
    // Smaller counts expire earlier than this one.
    std::erase_if(
        m_past, [this](const PastCount& past) { return past.m_vms <= m_vms; });
    m_past.push_back({m_vms, now + m_window});
  }
  m_vms = vms;
}

double RetryExtraShare::Fraction(TimePoint now) const {
  if (!m_started) {
    return 0;
  }
  size_t most = std::max<size_t>(1, m_vms);
  for (const PastCount& past : m_past) {
    if (past.m_until > now) {
      most = std::max(most, past.m_vms);
    }
  }
  const double age = std::min(
      1.0, ToMilliseconds(now - *m_started) / ToMilliseconds(m_window));
  return age / static_cast<double>(most);
}

}  // namespace sorrelplank
