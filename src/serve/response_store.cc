/// @file response_store.cc Stores responses up to a size limit.

#include "serve/response_store.h"

namespace sorrelplank {

namespace {

/// Approximate overhead of one stored response beyond its body.
constexpr size_t kEntryOverheadBytes = 256;

}  // namespace

void ResponseStore::Store(RequestId request, const HttpResponse& response) {
  m_bytes += response.m_body.size() + kEntryOverheadBytes;
  m_responses[request] = response;
  m_insertion_order.push_back(request);
  while (m_bytes > m_max_bytes && !m_insertion_order.empty()) {
    const auto oldest = m_responses.find(m_insertion_order.front());
    m_bytes -= oldest->second.m_body.size() + kEntryOverheadBytes;
    m_responses.erase(oldest);
    m_insertion_order.pop_front();
  }
}

const HttpResponse* ResponseStore::Find(RequestId request) const {
  const auto it = m_responses.find(request);
  return it == m_responses.end() ? nullptr : &it->second;
}

}  // namespace sorrelplank
