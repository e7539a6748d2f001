/// @file connection_choice.cc Choice by the time without progress.

#include "net/connection_choice_func.h"

namespace sorrelplank {

namespace {

/// How long a body may make no progress while others need its memory. Without
/// that need, the limits of HttpConnection apply.
constexpr Duration kMaxBodyPauseForOthers = seconds(3);

/// The longest standing connection for which the condition holds.
template <typename Condition>
std::optional<uint64_t> ChooseLongest(
    const std::vector<ConnectionStanding>& connections,
    const Condition& may_be_chosen) {
  const ConnectionStanding* longest = nullptr;
  for (const ConnectionStanding& connection : connections) {
    const bool is_longer =
        longest == nullptr || connection.m_since < longest->m_since;
    if (may_be_chosen(connection) && is_longer) {
      longest = &connection;
    }
  }
  return longest == nullptr ? std::nullopt : std::optional(longest->m_id);
}

}  // namespace

std::optional<uint64_t> ChooseStalest(
    const std::vector<ConnectionStanding>& connections) {
  return ChooseLongest(connections, [](const ConnectionStanding& connection) {
    return !connection.m_is_serving;
  });
}

std::optional<uint64_t> ChooseOldestHead(
    const std::vector<ConnectionStanding>& connections) {
  return ChooseLongest(connections, [](const ConnectionStanding& connection) {
    return connection.m_head_bytes > 0;
  });
}

std::optional<uint64_t> ChooseStalledBody(
    const std::vector<ConnectionStanding>& connections,
    TimePoint now) {
  return ChooseLongest(
      connections, [now](const ConnectionStanding& connection) {
        return connection.m_is_body_arriving &&
               now - connection.m_since > kMaxBodyPauseForOthers;
      });
}

}  // namespace sorrelplank
