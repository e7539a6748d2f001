/// @file publish.cc Three-way merge by file, then compare-and-swap of the head.

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "config/config_parse_func.h"
#include "config/publish_func.h"

namespace sorrelplank {

namespace {

constexpr int kMaxRaces = 8;
constexpr int kMaxHeadWriteAttempts = 4;

/// Digest of a file in a head; empty if the head does not name the file.
std::string DigestIn(const std::vector<HeadFile>& files,
                     const std::string& name) {
  const auto it =
      std::find_if(files.begin(), files.end(),
                   [&](const HeadFile& file) { return file.m_name == name; });
  return it == files.end() ? "" : it->m_digest;
}

/// The head record that the platform stores now.
struct CurrentHead {
  Head m_head;
  std::optional<std::string> m_tag;
};

std::variant<CurrentHead, PublishUnavailable> ReadHead(
    const PlatformStore& store) {
  const PlatformResult result = store.m_get(kHeadKey);
  if (result.m_end == PlatformOutcome::kMissing) {
    return CurrentHead{};
  }
  if (result.m_end != PlatformOutcome::kDone) {
    return PublishUnavailable{"the platform did not answer"};
  }
  auto head = ParseHead(result.m_value);
  if (!head) {
    return PublishUnavailable{"the platform's head record is damaged"};
  }
  return CurrentHead{std::move(*head), result.m_tag};
}

/// Merges the folder and the current head file by file, relative to the base.
class ThreeWayMerge {
 public:
  ThreeWayMerge(const ConfigFiles& folder,
                const std::optional<Head>& base,
                const Head& current,
                const PlatformStore& store)
      : m_folder(folder), m_base(base), m_current(current), m_store(store) {}

  PlanResult Run() {
    std::set<std::string> names;
    for (const ConfigFile& file : m_folder) {
      names.insert(file.m_name);
    }
    for (const HeadFile& file : m_current.m_files) {
      names.insert(file.m_name);
    }
    for (const std::string& name : names) {
      if (!MergeFile(name)) {
        return PublishUnavailable{"chunk of " + name +
                                  " is missing or damaged in the platform"};
      }
    }
    if (!m_conflicts.empty()) {
      return PublishConflict{std::move(m_conflicts),
                             m_base ? m_base->m_version : ConfigVersion(),
                             m_current.m_version};
    }
    m_plan.m_parent_version = m_current.m_version;
    m_plan.m_history = m_current.m_history;
    return std::move(m_plan);
  }

 private:
  /// Returns false if a chunk that is needed cannot be read.
  bool MergeFile(const std::string& name) {
    const auto ours = std::find_if(
        m_folder.begin(), m_folder.end(),
        [&](const ConfigFile& file) { return file.m_name == name; });
    const std::string our_digest =
        ours == m_folder.end() ? "" : DigestOf(ours->m_text);
    const std::string head_digest = DigestIn(m_current.m_files, name);
    const std::string base_digest =
        m_base ? DigestIn(m_base->m_files, name) : "";
    if (our_digest == head_digest) {
      m_plan.m_files.push_back(*ours);
      return true;
    }
    if (our_digest == base_digest) {
      // Unchanged here and changed by someone else: keep their version.
      m_plan.m_rebased.push_back(name);
      return head_digest.empty() || KeepTheirs(name, head_digest);
    }
    if (head_digest != base_digest) {
      m_conflicts.push_back(name);
      return true;
    }
    AddChange(name, our_digest, head_digest);
    if (ours != m_folder.end()) {
      m_plan.m_files.push_back(*ours);
    }
    return true;
  }

  bool KeepTheirs(const std::string& name, const std::string& digest) {
    const PlatformResult chunk = m_store.m_get(kChunkPrefix + digest);
    if (chunk.m_end != PlatformOutcome::kDone ||
        DigestOf(chunk.m_value) != digest) {
      return false;
    }
    m_plan.m_files.push_back({name, chunk.m_value});
    return true;
  }

  void AddChange(const std::string& name,
                 const std::string& ours,
                 const std::string& head) {
    const FileChange change = ours.empty()   ? FileChange::kRemoved
                              : head.empty() ? FileChange::kAdded
                                             : FileChange::kChanged;
    m_plan.m_changes.push_back({name, change});
  }

  const ConfigFiles& m_folder;
  const std::optional<Head>& m_base;
  const Head& m_current;
  const PlatformStore& m_store;
  PublishPlan m_plan;
  std::vector<std::string> m_conflicts;
};

/// Writes the chunks that the head will name. Their keys are digests of their
/// content, so writing one again, or concurrently with another operator, is
/// harmless.
bool WriteChunks(const ConfigFiles& files, const PlatformStore& store) {
  return std::all_of(files.begin(), files.end(), [&](const ConfigFile& file) {
    const std::string key = kChunkPrefix + DigestOf(file.m_text);
    const PlatformResult known = store.m_get(key);
    if (known.m_end == PlatformOutcome::kDone && known.m_value == file.m_text) {
      return true;
    }
    PutCondition condition;
    if (known.m_end == PlatformOutcome::kDone) {
      condition.m_tag = known.m_tag;  // Overwrites a damaged chunk.
    }
    const PlatformResult put = store.m_put(key, file.m_text, condition);
    if (put.m_end == PlatformOutcome::kDone) {
      return true;
    }
    // The response may be lost, or another operator wrote the same chunk.
    const PlatformResult again = store.m_get(key);
    return again.m_end == PlatformOutcome::kDone &&
           again.m_value == file.m_text;
  });
}

/// Runs one call of Publish().
class Publisher {
 public:
  Publisher(const PublishRequest& request, const PlatformStore& store)
      : m_request(request), m_store(store) {}

  PublishResult Run() {
    for (int race = 0; race < kMaxRaces; ++race) {
      auto result = RunOnce();
      if (result) {
        return std::move(*result);
      }
    }
    return PublishUnavailable{
        "other operators kept changing the configuration"};
  }

 private:
  /// Returns nothing if another operator changed the head first.
  std::optional<PublishResult> RunOnce() {
    if (auto done = FindEarlierWrite()) {
      return done;
    }
    PlanResult planned =
        PlanPublish(m_request.m_folder, m_request.m_base, m_store);
    if (auto* refused = std::get_if<PublishRefused>(&planned)) {
      return std::move(*refused);
    }
    if (auto* conflict = std::get_if<PublishConflict>(&planned)) {
      return std::move(*conflict);
    }
    if (auto* unavailable = std::get_if<PublishUnavailable>(&planned)) {
      return std::move(*unavailable);
    }
    return Execute(std::get<PublishPlan>(planned));
  }

  std::optional<PublishResult> Execute(PublishPlan& plan) {
    const bool is_behind = m_request.m_min_version > plan.m_parent_version;
    const ConfigVersion base_version =
        is_behind ? m_request.m_min_version : plan.m_parent_version;
    if (plan.m_changes.empty() && !is_behind) {
      return PublishAccepted{MakeHead(plan.m_files, plan.m_parent_version,
                                      m_request.m_change_id, plan.m_history),
                             {},
                             std::move(plan.m_rebased)};
    }
    const Head head =
        MakeHead(plan.m_files, ConfigVersion(base_version.Get() + 1),
                 m_request.m_change_id, plan.m_history);
    const std::string record = FormatHead(head);
    if (record.size() > kMaxValueBytes) {
      return PublishRefused{
          {{"(folder)", "", "", "has too many files", "fewer files"}}};
    }
    if (!WriteChunks(plan.m_files, m_store)) {
      return PublishUnavailable{"a chunk could not be written"};
    }
    return WriteHead(head, record, plan);
  }

  std::optional<PublishResult> WriteHead(const Head& head,
                                         const std::string& record,
                                         PublishPlan& plan) {
    const PutCondition condition{plan.m_head_tag};
    bool may_be_written = false;
    for (int attempt = 0; attempt < kMaxHeadWriteAttempts; ++attempt) {
      const PlatformResult put = m_store.m_put(kHeadKey, record, condition);
      if (put.m_end == PlatformOutcome::kDone) {
        return PublishAccepted{head, std::move(plan.m_changes),
                               std::move(plan.m_rebased)};
      }
      if (put.m_end == PlatformOutcome::kConflict && !may_be_written) {
        return std::nullopt;
      }
      may_be_written |= put.m_end == PlatformOutcome::kUnknown;
      if (put.m_end == PlatformOutcome::kConflict) {
        return SettleConflict(head, plan);
      }
      if (!may_be_written) {
        return PublishUnavailable{"the platform did not answer"};
      }
      // The response was lost. Writing the same record again under the same
      // condition does no harm: either the first write took effect, and this
      // one conflicts, or it did not.
    }
    return PublishUnknown{m_request.m_change_id};
  }

  /// Handles a failed condition after a write whose response was lost: either
  /// that write or one by another operator changed the head.
  std::optional<PublishResult> SettleConflict(const Head& head,
                                              PublishPlan& plan) {
    const auto current = ReadHead(m_store);
    const auto* found = std::get_if<CurrentHead>(&current);
    if (found == nullptr) {
      return PublishUnknown{m_request.m_change_id};
    }
    if (found->m_head.Contains(m_request.m_change_id)) {
      return PublishAccepted{head, std::move(plan.m_changes),
                             std::move(plan.m_rebased)};
    }
    return std::nullopt;
  }

  /// The change may already be published, by a command with the same id.
  std::optional<PublishResult> FindEarlierWrite() {
    const auto current = ReadHead(m_store);
    const auto* found = std::get_if<CurrentHead>(&current);
    if (found == nullptr || !found->m_head.Contains(m_request.m_change_id)) {
      return std::nullopt;
    }
    return PublishAccepted{found->m_head, {}, {}};
  }

  const PublishRequest& m_request;
  const PlatformStore& m_store;
};

}  // namespace

PlanResult PlanPublish(const ConfigFiles& folder,
                       const std::optional<Head>& base,
                       const PlatformStore& store) {
  Faults faults;
  for (const ConfigFile& file : folder) {
    if (file.m_text.size() > kMaxValueBytes) {
      faults.push_back({file.m_name, "", std::to_string(file.m_text.size()),
                        "is too large",
                        "at most 1048576 bytes; split the file"});
    }
  }
  const auto alone = ParseConfig(folder, ConfigVersion(1));
  if (const auto* found = std::get_if<Faults>(&alone)) {
    faults.insert(faults.end(), found->begin(), found->end());
  }
  if (!faults.empty()) {
    return PublishRefused{std::move(faults)};
  }
  const auto current = ReadHead(store);
  if (const auto* unavailable = std::get_if<PublishUnavailable>(&current)) {
    return *unavailable;
  }
  const auto& head = std::get<CurrentHead>(current);
  PlanResult result = ThreeWayMerge(folder, base, head.m_head, store).Run();
  auto* plan = std::get_if<PublishPlan>(&result);
  if (plan == nullptr) {
    return result;
  }
  plan->m_head_tag = head.m_tag;
  // Two changes that are each valid can be invalid together.
  auto merged = ParseConfig(plan->m_files, ConfigVersion(1));
  if (auto* found = std::get_if<Faults>(&merged)) {
    return PublishRefused{std::move(*found)};
  }
  return result;
}

PublishResult Publish(const PublishRequest& request,
                      const PlatformStore& store) {
  return Publisher(request, store).Run();
}

}  // namespace sorrelplank
