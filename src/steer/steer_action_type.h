/// @file steer_action_type.h Actions requested by the steering decisions.

#ifndef SORRELPLANK_STEER_STEER_ACTION_TYPE_H_
#define SORRELPLANK_STEER_STEER_ACTION_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids_type.h"
#include "core/time_type.h"
#include "core/vm_record_type.h"
#include "steer/admission.h"
#include "steer/crash_record_type.h"
#include "steer/passed_on_terms_type.h"
#include "steer/quota_message_type.h"
#include "steer/retry_charge_type.h"
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
  /// Whether another attempt at the request is in flight.
  bool m_is_hedge = false;
  /// Organisation of the caller, passed on to the server; empty on public
  /// routes and without configured organisations.
  std::string m_organisation;
  /// Whether the client's key is not passed on to the server.
  bool m_strips_key = false;
  /// Maximum number of idle connections to the server that may be kept open
  /// after the response.
  size_t m_max_idle_connections = 0;
  /// For logs and metrics.
  std::string m_service;
  /// Region of the server.
  std::string m_region;
  /// Reasons for the decision, for logs: requests in flight at the server, time
  /// since arrival, and the routing table's version.
  double m_occupancy = 0;
  Duration m_waited{};
  /// Servers skipped because they ask for no more requests.
  uint32_t m_passed_over = 0;
  /// Whether the first server in the object's ranking could have taken the
  /// request, but was expected to answer later.
  bool m_is_second_choice = false;
  uint64_t m_table_version = 0;
  /// Whether the request was recognised as sent before and rejected.
  bool m_is_returning = false;
  /// Set if the send was charged to the retry budget.
  std::optional<RetryCharge> m_retry_charge{};
};

/// Pass a request on to another entry VM, which sends it to a server; the
/// result is passed to PeerEnded.
struct SendToPeer {
  RequestId m_request;
  AttemptId m_attempt;
  std::string m_vm;
  /// Its address for client connections, "IP:PORT".
  std::string m_client_address;
  Duration m_time_left{};
  PassedOnTerms m_terms;
  /// Time since arrival, for logs.
  Duration m_waited{};
};

/// Cancel an attempt: its connection is closed, which ends the work at the
/// server.
struct CancelSend {
  RequestId m_request;
  AttemptId m_attempt;
};

/// Forward the response that an attempt returned to the client.
struct ForwardServerAnswer {
  RequestId m_request;
  AttemptId m_attempt;
  /// For metrics: the attempt is a hedge, and the first one is in flight still.
  bool m_is_hedge = false;
};

/// Answer the request without a backend server's response.
struct RefuseRequest {
  RequestId m_request;
  SteerRefusal m_reason = SteerRefusal::kNotReady;
  Duration m_retry_after{};
  /// Reasons for the decision, for logs.
  /// Name of the organisation; empty if unknown or none.
  std::string m_organisation;
  QueueState m_queue;
  /// Expected time to the response of the server that would give it first, and
  /// what was left for it; zero unless this is the reason.
  Duration m_time_to_answer{};
  Duration m_time_left{};
  Duration m_waited{};
  uint64_t m_table_version = 0;
  uint32_t m_sends = 0;
  /// Servers skipped because they ask for no more requests.
  uint32_t m_passed_over = 0;
  /// Servers that crashed while they ran the request.
  size_t m_crashes = 0;
  /// Whether the request was recognised as sent before and rejected.
  bool m_is_returning = false;
};

/// For logs only: the assumed state of a server, service or failure domain
/// changed.
struct StateChanged {
  /// Constant name of the log event, such as "server_rests".
  const char* m_event = "";
  /// Instance of a server, or name of a service or failure domain.
  std::string m_subject;
  double m_value = 0;
};

/// For logs only: a service's split over regions shifted.
struct RegionSplitChanged {
  std::string m_service;
  /// Fraction of the objects that the VM's own region serves.
  double m_own_share = 1;
  /// Requests running and waiting per slot.
  double m_own_load = 0;
  /// The same for the least loaded other region with slots.
  double m_least_load_elsewhere = 0;
};

/// A backend server restarted: its idle connections belong to the previous run
/// and are useless.
struct ServerRestarted {
  std::string m_instance;
};

/// Check whether a server still accepts connections; the result is passed to
/// ServerChecked.
struct CheckServerReachable {
  std::string m_instance;
  VmAddress m_address;
};

/// Open a connection to a server and close it again, to find out whether this
/// VM reaches any server; the result is passed to ReachProbed.
struct ProbeServerReach {
  std::string m_instance;
  VmAddress m_address;
};

/// This VM saw a server crash while it ran a request; to be reported to the
/// other VMs.
struct RequestSuspected {
  CrashReport m_report;
  /// Servers that crashed while they ran the request, as known to this VM.
  size_t m_crashes = 0;
};

/// For logs only: a request is held back from now on.
struct RequestHeld {
  RequestDigest m_digest;
  size_t m_crashes = 0;
};

/// For logs only: a request is no longer held back, because a server answered
/// it, or because an operator released it.
struct HoldEnded {
  RequestDigest m_digest;
};

/// For logs only: this VM saw a crash that does not count, because a server has
/// answered the request.
struct CrashRefuted {
  CrashRecord m_record;
};

/// For logs only: a request that is held back is sent once.
struct TrialBegun {
  RequestId m_request;
  RequestDigest m_digest;
};

/// These crash records no longer count; to be reported to the other VMs.
struct CrashesDropped {
  std::vector<CrashRecord> m_records;
  /// "answered" or "expired".
  const char* m_reason = "";
};

/// Send a quota request to another entry VM; its grant is passed to
/// ApplyQuotaGrant.
struct SendQuotaRequest {
  AddressedQuotaRequest m_request;
};

using SteerAction = std::variant<SendToServer,
                                 SendToPeer,
                                 CancelSend,
                                 ForwardServerAnswer,
                                 RefuseRequest,
                                 StateChanged,
                                 RegionSplitChanged,
                                 ServerRestarted,
                                 CheckServerReachable,
                                 ProbeServerReach,
                                 RequestSuspected,
                                 RequestHeld,
                                 HoldEnded,
                                 CrashRefuted,
                                 TrialBegun,
                                 CrashesDropped,
                                 SendQuotaRequest>;

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEER_ACTION_TYPE_H_
