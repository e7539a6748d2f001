/// @file publish_test.cc Races, lost responses and corruption while publishing.

#include "config/publish_func.h"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>

#include "tests/node_fixture.h"

namespace sorrelplank {
namespace {

/// An in-memory platform with fault injection.
class MemoryPlatform {
 public:
  PlatformStore Store() {
    return {[this](const std::string& key) { return Get(key); },
            [this](const std::string& key, const std::string& value,
                   const PutCondition& condition) {
              return Put(key, value, condition);
            }};
  }

  PlatformResult Get(const std::string& key) {
    if (m_down) {
      return {PlatformOutcome::kUnavailable, "", ""};
    }
    const auto it = m_values.find(key);
    if (it == m_values.end()) {
      return {PlatformOutcome::kMissing, "", ""};
    }
    return {PlatformOutcome::kDone, it->second.first,
            std::to_string(it->second.second)};
  }

  PlatformResult Put(const std::string& key,
                     const std::string& value,
                     const PutCondition& condition) {
    if (m_down) {
      return {PlatformOutcome::kUnavailable, "", ""};
    }
    if (key == kHeadKey && m_before_head_write) {
      std::exchange(m_before_head_write, nullptr)();
    }
    const auto it = m_values.find(key);
    const bool matches =
        condition.m_tag
            ? it != m_values.end() &&
                  std::to_string(it->second.second) == *condition.m_tag
            : it == m_values.end();
    if (!matches) {
      return {PlatformOutcome::kConflict, "", ""};
    }
    const bool is_head = key == kHeadKey;
    if (is_head && m_lost_head_writes > 0) {
      --m_lost_head_writes;
      return {PlatformOutcome::kUnknown, "", ""};
    }
    m_values[key] = {value, m_next_tag++};
    if (is_head && m_lost_head_responses > 0) {
      --m_lost_head_responses;
      m_down = m_down_after_loss;
      return {PlatformOutcome::kUnknown, "", ""};
    }
    return {PlatformOutcome::kDone, "", std::to_string(m_next_tag - 1)};
  }

  Head CurrentHead() { return *ParseHead(Get(kHeadKey).m_value); }

  std::map<std::string, std::pair<std::string, int>> m_values;
  int m_next_tag = 1;
  bool m_down = false;
  int m_lost_head_responses = 0;
  int m_lost_head_writes = 0;
  bool m_down_after_loss = false;
  /// Runs once, just before the next write of the head.
  std::function<void()> m_before_head_write;
};

std::unique_ptr<MemoryPlatform> g_platform;

ConfigFiles Folder(const std::string& second) {
  return {{"10.json", SmallConfig()}, {"20.json", second}};
}

constexpr const char* kPolicyA = R"({"policy": {"lookup_ttl_ms": 1500}})";
constexpr const char* kPolicyB = R"({"policy": {"lookup_ttl_ms": 2500}})";

PublishResult Apply(const ConfigFiles& folder,
                    const std::optional<Head>& base,
                    const std::string& id) {
  return Publish({folder, base, id, ConfigVersion()}, g_platform->Store());
}

uint64_t VersionOf(const PublishResult& result) {
  return std::get<PublishAccepted>(result).m_head.m_version.Get();
}

void SetUp() {
  g_platform = std::make_unique<MemoryPlatform>();
  Apply(Folder(kPolicyA), std::nullopt, "first");
}

void TearDown() {
  g_platform.reset();
}

TestSuite(Publish, .init = SetUp, .fini = TearDown);

Test(Publish, FirstFolder_EmptyPlatform_IsVersionOne) {
  cr_assert_eq(g_platform->CurrentHead().m_version.Get(), 1);
}

Test(Publish, SameFolderAgain_NothingChanged_StaysAtItsVersion) {
  const Head base = g_platform->CurrentHead();
  cr_assert_eq(VersionOf(Apply(Folder(kPolicyA), base, "again")), 1);
}

Test(Publish, FaultyFolder_Applied_RefusedAndNothingWritten) {
  const auto result = Apply(Folder(R"({"policy": {"lookup_ttl_ms": -1}})"),
                            g_platform->CurrentHead(), "bad");
  cr_assert(std::holds_alternative<PublishRefused>(result));
  cr_assert_eq(g_platform->CurrentHead().m_version.Get(), 1);
}

// Two operators change the same file from the same version. The second gets a
// conflict with both versions; the first one's change is not lost.
Test(Publish, SameFileChangedByBoth_SecondApplies_Conflict) {
  const Head base = g_platform->CurrentHead();
  Apply(Folder(kPolicyB), base, "mine");
  const auto result =
      Apply(Folder(R"({"policy": {"lookup_ttl_ms": 3500}})"), base, "theirs");
  const auto& conflict = std::get<PublishConflict>(result);
  cr_assert_eq(conflict.m_files.front(), "20.json");
  cr_assert_eq(conflict.m_base.Get(), 1);
  cr_assert_eq(conflict.m_current.Get(), 2);
}

// Two operators change different files: both changes end up in force.
Test(Publish, DifferentFiles_SecondApplies_BothInForce) {
  const Head base = g_platform->CurrentHead();
  Apply(Folder(kPolicyB), base, "mine");
  ConfigFiles theirs = Folder(kPolicyA);
  theirs.push_back({"30.json", R"({"regions": {"east": {}}})"});
  const auto result = Apply(theirs, base, "theirs");
  cr_assert_eq(VersionOf(result), 3);
  const Head head = g_platform->CurrentHead();
  cr_assert_eq(head.m_files.size(), 3);
  cr_assert_eq(head.m_files[1].m_digest, DigestOf(kPolicyB));
}

// Another operator writes the head between our plan and our write.
Test(Publish, HeadRace_DifferentFiles_Replans) {
  const Head base = g_platform->CurrentHead();
  g_platform->m_before_head_write = [&] {
    ConfigFiles other = Folder(kPolicyA);
    other.push_back({"30.json", R"({"regions": {"east": {}}})"});
    Apply(other, base, "other");
  };
  const auto result = Apply(Folder(kPolicyB), base, "mine");
  cr_assert_eq(VersionOf(result), 3);
  cr_assert_eq(g_platform->CurrentHead().m_files.size(), 3);
}

Test(Publish, FiveOperators_FiveFiles_AllInForce) {
  const Head base = g_platform->CurrentHead();
  for (int number = 0; number < 5; ++number) {
    ConfigFiles folder = Folder(kPolicyA);
    folder.push_back(
        {"4" + std::to_string(number) + ".json",
         R"({"regions": {"extra)" + std::to_string(number) + R"(": {}}})"});
    cr_assert_eq(VersionOf(Apply(folder, base, std::to_string(number))),
                 static_cast<uint64_t>(number) + 2);
  }
  cr_assert_eq(g_platform->CurrentHead().m_files.size(), 7);
}

// The write takes effect and its response is lost. The command must still
// report that the change was accepted.
Test(Publish, HeadResponseLost_WriteTookEffect_Accepted) {
  g_platform->m_lost_head_responses = 1;
  const auto result =
      Apply(Folder(kPolicyB), g_platform->CurrentHead(), "mine");
  cr_assert_eq(VersionOf(result), 2);
}

Test(Publish, HeadWriteLost_NeverTookEffect_AcceptedByRetry) {
  g_platform->m_lost_head_writes = 1;
  const auto result =
      Apply(Folder(kPolicyB), g_platform->CurrentHead(), "mine");
  cr_assert_eq(VersionOf(result), 2);
}

// The response is lost and the platform becomes unreachable, so the outcome is
// unknown and reported as such. Repeating the command with the same id later
// finds the outcome, without applying anything twice.
Test(Publish, ResponseLostThenOutage_RepeatedWithSameId_NotAppliedTwice) {
  const Head base = g_platform->CurrentHead();
  g_platform->m_lost_head_responses = 1;
  g_platform->m_down_after_loss = true;
  const auto unknown = Apply(Folder(kPolicyB), base, "mine");
  cr_assert(std::holds_alternative<PublishUnknown>(unknown));
  g_platform->m_down = false;
  cr_assert_eq(VersionOf(Apply(Folder(kPolicyB), base, "mine")), 2);
  cr_assert_eq(g_platform->CurrentHead().m_version.Get(), 2);
}

Test(Publish, PlatformDown_Applied_UnavailableAndNothingWritten) {
  const Head base = g_platform->CurrentHead();
  g_platform->m_down = true;
  const auto result = Apply(Folder(kPolicyB), base, "mine");
  cr_assert(std::holds_alternative<PublishUnavailable>(result));
}

// A file that the operator did not change is older in the folder than the
// version that another operator published since: the newer one is kept.
Test(Publish, StaleFolder_UntouchedFileIsOlder_HeadFileStays) {
  const Head base = g_platform->CurrentHead();
  Apply(Folder(kPolicyB), base, "mine");
  const auto result = Apply(Folder(kPolicyA), base, "stale");
  cr_assert_eq(std::get<PublishAccepted>(result).m_rebased.front(), "20.json");
  cr_assert_eq(g_platform->CurrentHead().m_files[1].m_digest,
               DigestOf(kPolicyB));
}

// The platform was restored to an older state, but entry VMs have seen version
// 9. The next version must be higher, or they would refuse it.
Test(Publish, RestoredPlatform_VmsSawHigherVersion_NewVersionIsHigher) {
  const auto result = Publish(
      {Folder(kPolicyB), g_platform->CurrentHead(), "mine", ConfigVersion(9)},
      g_platform->Store());
  cr_assert_eq(VersionOf(result), 10);
}

Test(Publish, ChunkDamaged_OthersFileIsNeeded_Unavailable) {
  const Head base = g_platform->CurrentHead();
  Apply(Folder(kPolicyB), base, "mine");
  g_platform->m_values[kChunkPrefix + DigestOf(kPolicyB)].first = "garbage";
  ConfigFiles theirs = Folder(kPolicyA);
  theirs.push_back({"30.json", R"({"regions": {"east": {}}})"});
  cr_assert(std::holds_alternative<PublishUnavailable>(
      Apply(theirs, base, "theirs")));
}

}  // namespace
}  // namespace sorrelplank
