/// @file proxy_header_names_type.h Names of the proxy's HTTP header fields.

#ifndef SORRELPLANK_PROXY_PROXY_HEADER_NAMES_TYPE_H_
#define SORRELPLANK_PROXY_PROXY_HEADER_NAMES_TYPE_H_

#include <string>
#include <vector>

namespace sorrelplank {

/// Names of the header fields exchanged with clients and backend servers, in
/// lower case, as defined by the deployment.
struct ProxyHeaderNames {
  /// Request id; servers repeat it in the response.
  std::string m_request_id;
  /// Milliseconds until the sender gives up.
  std::string m_deadline_ms;
  /// The only server instance that may run the request.
  std::string m_expected_instance;
  /// Affinity key: the object that the request is about.
  std::string m_object;
  /// Credentials with the client's key. Not forwarded if organisations have
  /// keys.
  std::string m_credentials;
  /// The caller's organisation; only set by the proxy, for the server.
  std::string m_organisation;
  /// Present in responses that the server itself produced.
  std::string m_stamp;
  /// Present if the server did not run the request.
  std::string m_not_run;
  /// Load of the server as "RUNNING,WAITING,SLOTS".
  std::string m_load;
  /// Requests per second that the server accepts from all callers together; any
  /// of these names may be used.
  std::vector<std::string> m_rate_limit;
  /// "1" if the server is shutting down; any of these names may be used.
  std::vector<std::string> m_leaving;
  /// The server instance that produced the response.
  std::string m_instance;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_PROXY_HEADER_NAMES_TYPE_H_
