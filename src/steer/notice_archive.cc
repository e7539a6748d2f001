/// @file notice_archive.cc Storage and expiry of archived notices.

#include "steer/notice_archive.h"

namespace sorrelplank {

void NoticeArchive::Put(const ServerEntry& entry,
                        const ServerNotices& notices,
                        TimePoint now) {
  RemoveExpired(now);
  if (notices.IsAnyInForce(now) && m_archived.size() < kMaxArchived) {
    m_archived[entry.m_instance] = {entry, notices, now};
  }
}

ServerNotices NoticeArchive::Take(const ServerEntry& entry, TimePoint now) {
  RemoveExpired(now);
  const auto it = m_archived.find(entry.m_instance);
  if (it == m_archived.end()) {
    return {};
  }
  const ArchivedNotices archived = it->second;
  m_archived.erase(it);
  return IsSameRun(archived.m_entry, entry) ? archived.m_notices
                                            : ServerNotices();
}

void NoticeArchive::RemoveExpired(TimePoint now) {
  std::erase_if(m_archived, [now](const auto& one) {
    return now - one.second.m_archived_at > kMaxArchiveTime;
  });
}

}  // namespace sorrelplank
