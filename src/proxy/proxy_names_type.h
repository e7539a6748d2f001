/// @file proxy_names_type.h Header names between clients, us and servers.

#ifndef SORRELPLANK_PROXY_PROXY_NAMES_TYPE_H_
#define SORRELPLANK_PROXY_PROXY_NAMES_TYPE_H_

#include <string>
#include <vector>

namespace sorrelplank {

/// Names of header fields, in lower case, as the deployment spells them.
struct ProxyNames {
  /// A request's id; servers repeat it in the answer.
  std::string m_request_id;
  /// Milliseconds that the sender waits.
  std::string m_deadline_ms;
  /// The only instance that may run the request.
  std::string m_expected_instance;
  /// The object that the request is about.
  std::string m_object;
  /// Holds the client's key; it stays with us where organisations have keys.
  std::string m_credentials;
  /// Tells the server which organisation asks; set by us only.
  std::string m_organisation;
  /// Marks an answer of a server's own.
  std::string m_stamp;
  /// Present where the server did not run the request.
  std::string m_not_run;
  /// "RUNNING,WAITING,SLOTS" of the server.
  std::string m_load;
  /// Requests a second that the server takes from all callers together; any of
  /// these names.
  std::vector<std::string> m_rate_limit;
  /// "1" where the server leaves; any of these names.
  std::vector<std::string> m_leaving;
  /// The instance that answered.
  std::string m_instance;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_PROXY_NAMES_TYPE_H_
