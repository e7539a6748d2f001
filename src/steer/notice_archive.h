/// @file notice_archive.h Notices of backend servers that are not listed.

#ifndef SORRELPLANK_STEER_NOTICE_ARCHIVE_H_
#define SORRELPLANK_STEER_NOTICE_ARCHIVE_H_

#include <cstddef>
#include <map>
#include <string>

#include "core/time_type.h"
#include "steer/server_entry_type.h"
#include "steer/server_notices.h"

namespace sorrelplank {

/// Keeps what servers asked while their entries are away. An entry may lapse in
/// an outage of the store while its server runs on; listed again it is the same
/// run, and what it asked still holds.
class NoticeArchive {
 public:
  /// The server is no longer listed.
  void Put(const ServerEntry& entry,
           const ServerNotices& notices,
           TimePoint now);
  /// What the run asked before; nothing in force where it is another run.
  ServerNotices Take(const ServerEntry& entry, TimePoint now);

 private:
  /// Entries are back within seconds of the store's return.
  static constexpr Duration kLongestKept = seconds(600);
  static constexpr size_t kMostKept = 4096;

  struct Kept {
    ServerEntry m_entry;
    ServerNotices m_notices;
    TimePoint m_put;
  };

  void ForgetOld(TimePoint now);

  /// By the server's instance.
  std::map<std::string, Kept> m_kept;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_NOTICE_ARCHIVE_H_
