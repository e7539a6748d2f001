/// @file publish_func.h Accepting a changed folder into the platform.

#ifndef SORRELPLANK_CONFIG_PUBLISH_FUNC_H_
#define SORRELPLANK_CONFIG_PUBLISH_FUNC_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/config_file_type.h"
#include "config/fault_type.h"
#include "config/head_type.h"
#include "config/key_value_type.h"

namespace sorrelplank {

/// The platform, call by call. The command line blocks on an HTTP client;
/// tests use a table in memory.
struct PlatformStore {
  std::function<PlatformResult(const std::string& key)> m_get;
  std::function<PlatformResult(const std::string& key,
                               const std::string& value,
                               const PutCondition& condition)>
      m_put;
};

/// What a file's two sides did to it since the base.
enum class FileChange : uint8_t { kAdded, kChanged, kRemoved };

/// A file that an apply would change.
struct PlannedFile {
  std::string m_name;
  FileChange m_change;
};

/// Result of testing an apply.
struct PublishPlan {
  /// The folder as it would be in force: ours, with what others changed in
  /// other files since our base.
  ConfigFiles m_files;
  std::vector<PlannedFile> m_changes;
  /// Files that others changed and we keep as theirs.
  std::vector<std::string> m_rebased;
  ConfigVersion m_on_top_of;
  /// Entity tag of the head that the plan was made against.
  std::optional<std::string> m_head_tag;
  std::vector<std::string> m_history;
};

/// The folder is refused; nothing was written.
struct PublishRefused {
  Faults m_faults;
};
/// The same files were changed by somebody else since our base.
struct PublishConflict {
  std::vector<std::string> m_files;
  ConfigVersion m_base;
  ConfigVersion m_current;
};
/// The platform could not be asked; nothing was written.
struct PublishUnavailable {
  std::string m_what;
};
/// The write may have taken effect.
struct PublishUnknown {
  std::string m_change_id;
};
/// Accepted, or nothing to change.
struct PublishAccepted {
  Head m_head;
  std::vector<PlannedFile> m_changes;
  std::vector<std::string> m_rebased;
};

using PlanResult = std::
    variant<PublishPlan, PublishRefused, PublishConflict, PublishUnavailable>;
using PublishResult = std::variant<PublishAccepted,
                                   PublishRefused,
                                   PublishConflict,
                                   PublishUnavailable,
                                   PublishUnknown>;

/// Tests an apply: what would change, or why it is refused. Base: the head
/// that the folder was last in step with, if any.
PlanResult PlanPublish(const ConfigFiles& folder,
                       const std::optional<Head>& base,
                       const PlatformStore& store);

/// What to publish.
struct PublishOrder {
  ConfigFiles m_folder;
  std::optional<Head> m_base;
  /// Repeating a command with the id of one whose outcome was unknown never
  /// applies it twice.
  std::string m_change_id;
  /// Highest version that any entry VM is known to have seen; the new one
  /// lies above it even where the platform was restored to an older state.
  ConfigVersion m_floor;
};

/// Tests by PlanPublish, then executes. On a race with another operator it
/// plans anew on top of their change, a few times.
PublishResult Publish(const PublishOrder& order, const PlatformStore& store);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_PUBLISH_FUNC_H_
