/// @file connection_choice_func.h Which connection is closed for others.

#ifndef SORRELPLANK_NET_CONNECTION_CHOICE_FUNC_H_
#define SORRELPLANK_NET_CONNECTION_CHOICE_FUNC_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "net/connection_standing_type.h"

namespace sorrelplank {

/// The connection without progress for the longest time; none whose request is
/// being served. Closing the newest instead would let clients that stay
/// connected shut everybody else out.
std::optional<uint64_t> ChooseStalest(
    const std::vector<ConnectionStanding>& connections);

/// The connection whose head has been arriving for the longest time.
std::optional<uint64_t> ChooseOldestHead(
    const std::vector<ConnectionStanding>& connections);

/// The connection whose body has made no progress for the longest time, if that
/// is long enough to end it for others.
std::optional<uint64_t> ChooseStalledBody(
    const std::vector<ConnectionStanding>& connections,
    TimePoint now);

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_CONNECTION_CHOICE_FUNC_H_
