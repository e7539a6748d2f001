/// @file steer_action_type.h What the steering decisions ask to be done.

#ifndef SORRELPLANK_STEER_STEER_ACTION_TYPE_H_
#define SORRELPLANK_STEER_STEER_ACTION_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "core/vm_record_type.h"
#include "steer/admission.h"
#include "steer/crash_record_type.h"
#include "steer/quota_message_type.h"
#include "steer/steer_refusal_type.h"

namespace sorrelplank {

/// Send a request to a backend server.
struct SendToServer {
  RequestId m_request;
  AttemptId m_attempt;
  std::string m_instance;
  VmAddress m_address;
  Duration m_time_left{};
  bool m_idempotent = false;
  /// Who asks, as the server is told; empty on public routes and where there
  /// are no organisations.
  std::string m_organisation;
  /// Whether the client's key ends here.
  bool m_keeps_key = false;
  /// Idle connections to the server that may be kept behind the answer.
  size_t m_most_kept = 0;
  /// For logs and counts.
  std::string m_service;
  /// The server's region.
  std::string m_region;
  /// What decided, for logs: requests under way there, time since arrival, and
  /// the table's version.
  double m_occupancy = 0;
  Duration m_waited{};
  /// Servers left out, since they ask for no more requests.
  uint32_t m_passed_over = 0;
  uint64_t m_table_version = 0;
};

/// Give a send up: its connection is closed, which ends the work.
struct CancelSend {
  RequestId m_request;
  AttemptId m_attempt;
};

/// Hand the answer that a send brought to the client.
struct ForwardServerAnswer {
  RequestId m_request;
  AttemptId m_attempt;
};

/// Answer without a backend server's answer.
struct RefuseRequest {
  RequestId m_request;
  SteerRefusal m_reason = SteerRefusal::kNotReady;
  Duration m_retry_after{};
  /// What decided, for logs.
  /// Empty where it is not known or there is none.
  std::string m_organisation;
  LineState m_line;
  Duration m_waited{};
  uint64_t m_table_version = 0;
  uint32_t m_sends = 0;
  /// Servers left out, since they ask for no more requests.
  uint32_t m_passed_over = 0;
  /// Servers that ended under the request.
  size_t m_ends = 0;
};

/// Nothing to do: what the decisions believe has changed, for logs.
struct BeliefChanged {
  /// A constant, such as "server_rests".
  const char* m_what = "";
  /// A server's instance or a service.
  std::string m_subject;
  double m_value = 0;
};

/// Nothing to do: a service's split over regions moved, for logs.
struct SplitMoved {
  std::string m_service;
  /// Part of the objects that the own region runs.
  double m_own_share = 1;
  /// Requests under way and waiting per slot.
  double m_own_load = 0;
  /// The same of the least loaded other region that has slots.
  double m_least_load_elsewhere = 0;
};

/// A backend server started again: its kept connections are those of the run
/// before.
struct ServerRestarted {
  std::string m_instance;
};

/// Find out whether a server still takes connections; ServerChecked tells.
struct CheckServerReach {
  std::string m_instance;
  VmAddress m_address;
};

/// This VM saw a server end under a request; to be told to the other VMs.
struct RequestSuspected {
  CrashReport m_report;
  /// Servers that ended under it, as far as this VM knows.
  size_t m_ends = 0;
};

/// Nothing to do: from now on a request is held back, for logs.
struct RequestHeld {
  RequestDigest m_digest;
  size_t m_ends = 0;
};

/// Nothing to do: a request is no longer held back, by word of another VM or of
/// an operator, for logs.
struct HoldEnded {
  RequestDigest m_digest;
};

/// These facts no longer count; to be told to the other VMs.
struct CrashesForgotten {
  std::vector<CrashRecord> m_facts;
  /// "answered" or "expired".
  const char* m_reason = "";
};

/// Ask another entry VM for tokens of a quota; TakeQuotaGrant tells the answer.
struct AskForTokens {
  AddressedQuotaRequest m_question;
};

using SteerAction = std::variant<SendToServer,
                                 CancelSend,
                                 ForwardServerAnswer,
                                 RefuseRequest,
                                 BeliefChanged,
                                 SplitMoved,
                                 ServerRestarted,
                                 CheckServerReach,
                                 RequestSuspected,
                                 RequestHeld,
                                 HoldEnded,
                                 CrashesForgotten,
                                 AskForTokens>;

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEER_ACTION_TYPE_H_
