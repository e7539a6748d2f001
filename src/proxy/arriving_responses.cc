/// @file arriving_responses.cc Choice of the response to give up.

#include "proxy/arriving_responses.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Responses up to this size are not ended for the sake of others.
constexpr size_t kSmallResponseBytes = size_t{64} * 1024;

}  // namespace

std::optional<AttemptId> ArrivingResponses::Update(AttemptId attempt,
                                                   size_t bytes,
                                                   size_t bound) {
  size_t& size = m_sizes[attempt];
  m_bytes += bytes - size;
  size = bytes;
  if (bound == 0 || m_bytes <= bound) {
    return std::nullopt;
  }
  const auto largest = std::max_element(
      m_sizes.begin(), m_sizes.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return largest->second > kSmallResponseBytes ? std::optional(largest->first)
                                               : std::nullopt;
}

void ArrivingResponses::Remove(AttemptId attempt) {
  const auto it = m_sizes.find(attempt);
  if (it != m_sizes.end()) {
    m_bytes -= it->second;
    m_sizes.erase(it);
  }
}

}  // namespace sorrelplank
