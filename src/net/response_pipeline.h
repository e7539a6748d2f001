/// @file response_pipeline.h Order of the responses on one connection.

#ifndef SORRELPLANK_NET_RESPONSE_PIPELINE_H_
#define SORRELPLANK_NET_RESPONSE_PIPELINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "net/http_message_type.h"

namespace sorrelplank {

/// Returns the responses to pipelined requests in the order of the requests,
/// and decides which of them closes the connection.
///
/// A response that asks for the close does not close the connection itself
/// while later requests have been read: these may be running at servers. The
/// response to the last of them closes it.
class ResponsePipeline {
 public:
  /// Adds a request that was read; returns its number on the connection.
  uint64_t AddRequest();
  /// Whether further requests may be read. False once a response has asked for
  /// the close: the client sends again what was not read.
  bool MayReadMore() const { return !m_is_close_requested; }
  /// The connection closes after the response to the last request.
  void RequestClose() { m_is_close_requested = true; }
  /// Whether the request has no response yet.
  bool IsAwaited(uint64_t number) const;
  /// Sets the response to a request that has none yet.
  void SetResponse(uint64_t number, HttpResponse response);
  /// The next response in order, if it is known.
  std::optional<HttpResponse> TakeNext();
  /// Requests whose response has not been taken.
  size_t OpenCount() const { return m_responses.size(); }

 private:
  std::deque<std::optional<HttpResponse>> m_responses;
  /// Number of the first entry.
  uint64_t m_first = 0;
  bool m_is_close_requested = false;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_RESPONSE_PIPELINE_H_
