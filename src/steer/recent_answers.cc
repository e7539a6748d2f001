/// @file recent_answers.cc Expiry of answers.

#include "steer/recent_answers.h"

#include <cstddef>

namespace sorrelplank {

namespace {

/// How long an answer is remembered: longer than a record of a crash takes from
/// another VM.
constexpr Duration kMemory = seconds(10);
/// Maximum number of remembered requests.
constexpr size_t kMaxRequests = 8192;

}  // namespace

void RecentAnswers::Note(const RequestDigest& digest, TimePoint now) {
  const auto [it, is_new] = m_last.insert_or_assign(digest, now);
  if (is_new) {
    m_order.emplace_back(now, digest);
  }
  DropOld(now);
}

std::optional<TimePoint> RecentAnswers::Last(
    const RequestDigest& digest) const {
  const auto it = m_last.find(digest);
  if (it == m_last.end()) {
    return std::nullopt;
  }
  return it->second;
}

void RecentAnswers::DropOld(TimePoint now) {
  while (m_order.size() > kMaxRequests ||
         (!m_order.empty() && m_order.front().first + kMemory < now)) {
    const auto [noted, digest] = m_order.front();
    m_order.pop_front();
    const TimePoint last = m_last.at(digest);
    if (last + kMemory < now || m_order.size() >= kMaxRequests) {
      m_last.erase(digest);
    } else {
      m_order.emplace_back(last, digest);
    }
  }
}

}  // namespace sorrelplank
