/// @file response_pipeline.cc Ordering of responses.

#include "net/response_pipeline.h"

#include <utility>

namespace sorrelplank {

uint64_t ResponsePipeline::AddRequest() {
  m_responses.emplace_back();
  return m_first + m_responses.size() - 1;
}

bool ResponsePipeline::IsAwaited(uint64_t number) const {
  return number >= m_first && !m_responses.at(number - m_first);
}

void ResponsePipeline::SetResponse(uint64_t number, HttpResponse response) {
  m_is_close_requested |= response.m_close;
  m_responses.at(number - m_first) = std::move(response);
}

std::optional<HttpResponse> ResponsePipeline::TakeNext() {
  if (m_responses.empty() || !m_responses.front()) {
    return std::nullopt;
  }
  std::optional<HttpResponse> response = std::move(m_responses.front());
  m_responses.pop_front();
  ++m_first;
  response->m_close = m_is_close_requested && m_responses.empty();
  return response;
}

}  // namespace sorrelplank
