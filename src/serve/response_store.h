/// @file response_store.h Stored responses for repeats of requests.

#ifndef SORRELPLANK_SERVE_RESPONSE_STORE_H_
#define SORRELPLANK_SERVE_RESPONSE_STORE_H_

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "core/ids_type.h"
#include "net/http_message_type.h"

namespace sorrelplank {

/// Stores the responses to non-idempotent requests and evicts the oldest ones
/// when their total size exceeds the limit. A repeat whose response has been
/// evicted is reported as already run; it is never run again because the
/// response is missing.
class ResponseStore {
 public:
  explicit ResponseStore(size_t max_bytes) : m_max_bytes(max_bytes) {}

  void Store(RequestId request, const HttpResponse& response);
  /// Returns nullptr if no response is stored, as after eviction.
  const HttpResponse* Find(RequestId request) const;

 private:
  size_t m_max_bytes;
  size_t m_bytes = 0;
  std::unordered_map<RequestId, HttpResponse> m_responses;
  std::deque<RequestId> m_insertion_order;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_RESPONSE_STORE_H_
