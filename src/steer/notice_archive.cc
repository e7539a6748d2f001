/// @file notice_archive.cc Notices by instance.

#include "steer/notice_archive.h"

namespace sorrelplank {

void NoticeArchive::Put(const ServerEntry& entry,
                        const ServerNotices& notices,
                        TimePoint now) {
  ForgetOld(now);
  if (notices.IsAnyInForce(now) && m_kept.size() < kMostKept) {
    m_kept[entry.m_instance] = {entry, notices, now};
  }
}

ServerNotices NoticeArchive::Take(const ServerEntry& entry, TimePoint now) {
  ForgetOld(now);
  const auto it = m_kept.find(entry.m_instance);
  if (it == m_kept.end()) {
    return {};
  }
  const Kept kept = it->second;
  m_kept.erase(it);
  return IsSameRun(kept.m_entry, entry) ? kept.m_notices : ServerNotices();
}

void NoticeArchive::ForgetOld(TimePoint now) {
  std::erase_if(m_kept, [now](const auto& one) {
    return now - one.second.m_put > kLongestKept;
  });
}

}  // namespace sorrelplank
