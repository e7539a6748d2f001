/// @file pending_call_type.h Requests that have no response yet.

#ifndef SORRELPLANK_SERVE_PENDING_CALL_TYPE_H_
#define SORRELPLANK_SERVE_PENDING_CALL_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "net/http_message_type.h"
#include "net/peer_server.h"

namespace sorrelplank {

/// The request came from a caller.
struct FromCaller {
  HttpReply m_reply;
  uint64_t m_connection = 0;
};
/// The request came from another entry VM.
struct FromPeer {
  PeerHandlers::Done<proto::HandOnReply> m_done;
  uint64_t m_call = 0;
  std::string m_request_id;
};

/// The state of a request until its response is sent.
struct PendingCall {
  std::variant<FromCaller, FromPeer> m_origin;
  std::string m_method;
  std::string m_path;
  std::string m_content_type;
  std::string m_body;
  std::string m_key;
  std::string m_request_id;
  std::string m_service_name;
  NameHash m_service;
  bool m_stores_response = false;
  TimePoint m_arrived{};
  /// Response to the current attempt.
  HttpResponse m_response;
  /// Response that another entry VM has stored for the key.
  std::optional<HttpResponse> m_peer_response;
  /// Id of the HTTP fetch in flight; 0 if none.
  uint64_t m_fetch = 0;
  /// Id of the call to another entry VM in flight; 0 if none.
  uint64_t m_hand_on = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_PENDING_CALL_TYPE_H_
