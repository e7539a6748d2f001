/// @file arriving_responses.h Bounds the memory of incomplete responses.

#ifndef SORRELPLANK_PROXY_ARRIVING_RESPONSES_H_
#define SORRELPLANK_PROXY_ARRIVING_RESPONSES_H_

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "core/ids_type.h"

namespace sorrelplank {

/// Counts the bytes of responses that are not complete, and names the attempt
/// to end when they exceed a bound: the one with the most bytes. A server that
/// never stops sending becomes that one, and small responses never do.
class ArrivingResponses {
 public:
  /// Records the size of an attempt's response so far. `bound` is for all
  /// responses together, in bytes; zero means that there is none.
  std::optional<AttemptId> Update(AttemptId attempt,
                                  size_t bytes,
                                  size_t bound);
  /// The attempt has ended.
  void Remove(AttemptId attempt);

  size_t Bytes() const { return m_bytes; }

 private:
  std::unordered_map<AttemptId, size_t> m_sizes;
  size_t m_bytes = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_ARRIVING_RESPONSES_H_
