/// @file server_notices.cc Start and end of notices.

#include "steer/server_notices.h"

#include <algorithm>

#include "steer/server_notice_type.h"

namespace sorrelplank {

namespace {

/// Responses on several connections may overtake each other by less than this.
/// One without a limit that arrives this soon after one with it may be older,
/// and does not end the limit.
constexpr Duration kMaxAnswerReordering = seconds(1);

}  // namespace

void ServerNotices::Apply(const ServerNotice& notice,
                          bool may_end_limit,
                          TimePoint now) {
  m_was_malformed |= notice.m_is_malformed;
  m_is_leaving |= notice.m_is_leaving;
  if (notice.m_pause) {
    // Each pause is requested independently, so the later end applies.
    m_paused_until = std::max(m_paused_until, now + *notice.m_pause);
  }
  if (notice.m_max_per_second) {
    m_max_per_second = notice.m_max_per_second;
    m_limit_named_at = now;
    return;
  }
  const bool says_none = may_end_limit && !notice.m_is_malformed;
  if (says_none && now - m_limit_named_at >= kMaxAnswerReordering) {
    m_max_per_second.reset();
  }
}

}  // namespace sorrelplank
