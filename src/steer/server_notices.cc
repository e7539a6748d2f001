/// @file server_notices.cc Beginnings and ends of what is asked.

#include "steer/server_notices.h"

#include <algorithm>

#include "steer/server_notice_type.h"

namespace sorrelplank {

namespace {

/// Answers on several connections may overtake each other by less than this.
/// One without the field that comes so soon behind one with it may be older,
/// and ends nothing.
constexpr Duration kLimitOutlives = seconds(1);

}  // namespace

void ServerNotices::Take(const ServerNotice& notice,
                         bool may_end_limit,
                         TimePoint now) {
  m_was_malformed |= notice.m_is_malformed;
  m_is_leaving |= notice.m_is_leaving;
  if (notice.m_pause) {
    // Of two times asked for the later end holds: each is a word of its own.
    m_paused_until = std::max(m_paused_until, now + *notice.m_pause);
  }
  if (notice.m_most_per_second) {
    m_most_per_second = notice.m_most_per_second;
    m_limit_named = now;
    return;
  }
  const bool says_none = may_end_limit && !notice.m_is_malformed;
  if (says_none && now - m_limit_named >= kLimitOutlives) {
    m_most_per_second.reset();
  }
}

}  // namespace sorrelplank
