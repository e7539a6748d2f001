/// @file notice_archive.h Notices of backend servers whose entries are gone.

#ifndef SORRELPLANK_STEER_NOTICE_ARCHIVE_H_
#define SORRELPLANK_STEER_NOTICE_ARCHIVE_H_

#include <cstddef>
#include <map>
#include <string>

#include "core/time_type.h"
#include "steer/server_entry_type.h"
#include "steer/server_notices.h"

namespace sorrelplank {

/// Keeps the notices of servers whose entries were removed. An entry may expire
/// during an outage of the store while its server keeps running; once listed
/// again it is the same run, and its notices still apply.
class NoticeArchive {
 public:
  /// Archives the notices of a server that is no longer listed.
  void Put(const ServerEntry& entry,
           const ServerNotices& notices,
           TimePoint now);
  /// Removes and returns the notices of the instance; empty ones if the entry
  /// is of another run.
  ServerNotices Take(const ServerEntry& entry, TimePoint now);

 private:
  /// Entries return within seconds after the store does.
  static constexpr Duration kMaxArchiveTime = seconds(600);
  static constexpr size_t kMaxArchived = 4096;

  struct ArchivedNotices {
    ServerEntry m_entry;
    ServerNotices m_notices;
    TimePoint m_archived_at;
  };

  void RemoveExpired(TimePoint now);

  /// By instance.
  std::map<std::string, ArchivedNotices> m_archived;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_NOTICE_ARCHIVE_H_
