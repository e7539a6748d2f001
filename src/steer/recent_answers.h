/// @file recent_answers.h Which requests servers have answered lately.

#ifndef SORRELPLANK_STEER_RECENT_ANSWERS_H_
#define SORRELPLANK_STEER_RECENT_ANSWERS_H_

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/request_digest_type.h"
#include "core/time_type.h"

namespace sorrelplank {

/// Remembers for a few seconds when each request was last answered, as evidence
/// that it does not crash servers. Bounded in number.
class RecentAnswers {
 public:
  void Note(const RequestDigest& digest, TimePoint now);
  /// The last answer, if it is remembered.
  std::optional<TimePoint> Last(const RequestDigest& digest) const;

 private:
  void DropOld(TimePoint now);

  std::unordered_map<RequestDigest, TimePoint> m_last;
  /// Each remembered request once, by an answer that may not be its last.
  std::deque<std::pair<TimePoint, RequestDigest>> m_order;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_RECENT_ANSWERS_H_
