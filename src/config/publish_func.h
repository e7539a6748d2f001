/// @file publish_func.h Publishing of a configuration folder to the platform.

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

/// Calls to the platform's key-value service. The command line uses a blocking
/// HTTP client; tests use a table in memory.
struct PlatformStore {
  std::function<PlatformResult(const std::string& key)> m_get;
  std::function<PlatformResult(const std::string& key,
                               const std::string& value,
                               const PutCondition& condition)>
      m_put;
};

/// How an apply would change a file of the current head.
enum class FileChange : uint8_t { kAdded, kChanged, kRemoved };

/// A file that an apply would change.
struct PlannedFile {
  std::string m_name;
  FileChange m_change;
};

/// The changes that an apply would make.
struct PublishPlan {
  /// The resulting files: ours, with the changes that others made to other
  /// files since our base.
  ConfigFiles m_files;
  std::vector<PlannedFile> m_changes;
  /// Files that others changed since our base, kept in their version.
  std::vector<std::string> m_rebased;
  ConfigVersion m_parent_version;
  /// Entity tag of the head that the plan was made against.
  std::optional<std::string> m_head_tag;
  std::vector<std::string> m_history;
};

/// The folder is refused; the head was not written.
struct PublishRefused {
  Faults m_faults;
};
/// The same files were changed by us and by someone else since our base.
struct PublishConflict {
  std::vector<std::string> m_files;
  ConfigVersion m_base;
  ConfigVersion m_current;
};
/// The platform is unreachable, its data is damaged, or the head kept changing;
/// the head was not written.
struct PublishUnavailable {
  std::string m_reason;
};
/// The write of the head may have taken effect.
struct PublishUnknown {
  std::string m_change_id;
};
/// The folder was accepted, or there was nothing to change.
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

/// Plans an apply without writing anything: what would change, or why it is
/// refused. Base: the head that the folder was last in sync with, if any.
PlanResult PlanPublish(const ConfigFiles& folder,
                       const std::optional<Head>& base,
                       const PlatformStore& store);

/// Arguments of Publish().
struct PublishRequest {
  ConfigFiles m_folder;
  std::optional<Head> m_base;
  /// Makes the command idempotent: repeating a command whose outcome was
  /// unknown with the same id never applies it twice.
  std::string m_change_id;
  /// Highest version that any entry VM is known to have seen. The new version
  /// is higher even if the platform was restored to an older state.
  ConfigVersion m_min_version;
};

/// Plans with PlanPublish(), then writes. If another operator changes the head
/// meanwhile, plans again on top of that change, a limited number of times.
PublishResult Publish(const PublishRequest& request,
                      const PlatformStore& store);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_PUBLISH_FUNC_H_
