/// @file ledger.cc Records events and checks the guarantees on each.

#include "soak/ledger.h"

#include <utility>

#include "serve/clock_func.h"

namespace sorrelplank::soak {

namespace {

bool GuaranteesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void Ledger::RecordSent(const std::string& id, CallerRequest request) {
  ++m_counts.m_sent;
  request.m_sent_sequence = m_next_sequence++;
  request.m_sent_time = SteadyNow();
  m_requests[id] = std::move(request);
}

const CallerRequest* Ledger::Find(const std::string& id) const {
  const auto it = m_requests.find(id);
  return it == m_requests.end() ? nullptr : &it->second;
}

ServedCounts Ledger::CountServed(const std::set<std::string>& vms,
                                 TimePoint from,
                                 TimePoint until) const {
  ServedCounts counts;
  for (const auto& [id, request] : m_requests) {
    const bool is_counted = vms.contains(request.m_vm) &&
                            request.m_sent_time >= from &&
                            request.m_sent_time < until;
    if (is_counted) {
      ++counts.m_sent;
      counts.m_success += request.m_end == CallerOutcome::kSuccess ? 1 : 0;
    }
  }
  return counts;
}

std::string Ledger::ResponseBody(const std::string& id,
                                 const std::string& path) {
  return "answer to " + id + " on " + path;
}

void Ledger::Breach(const std::string& guarantee,
                    const std::string& id,
                    const std::string& detail) {
  m_breaches.push_back(guarantee + ": request " + id + " " + detail);
}

void Ledger::RecordResponse(const std::string& id,
                            const CallerResponse& response) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end() || it->second.m_end != CallerOutcome::kPending) {
    Breach("own answer", id, "received a response that it did not wait for");
    return;
  }
  if (!response.m_request_id.empty() && response.m_request_id != id) {
    Breach("own answer", id,
           "received the response to " + response.m_request_id);
  }
  const bool is_success = response.m_status / 100 == 2;
  if (is_success && (!response.m_has_stamp ||
                     response.m_body != ResponseBody(id, it->second.m_path))) {
    Breach("whole answer", id,
           "received a successful response that no server sent");
  }
  if (is_success) {
    RecordEnd(id, CallerOutcome::kSuccess);
  } else {
    RecordEnd(id, GuaranteesNotRun(response.m_status)
                      ? CallerOutcome::kNotRun
                      : CallerOutcome::kFailure);
  }
}

void Ledger::RecordEnd(const std::string& id, CallerOutcome end) {
  CallerRequest& request = m_requests.at(id);
  request.m_end = end;
  request.m_end_sequence = m_next_sequence++;
  request.m_end_time = SteadyNow();
  switch (end) {
    case CallerOutcome::kPending:
      break;
    case CallerOutcome::kSuccess:
      ++m_counts.m_success;
      if (request.m_runs == 0) {
        Breach("whole answer", id, "succeeded without a run");
      }
      break;
    case CallerOutcome::kNotRun:
      ++m_counts.m_not_run;
      break;
    case CallerOutcome::kFailure:
      ++m_counts.m_failure;
      break;
    case CallerOutcome::kConnectionLost:
      ++m_counts.m_cut;
      break;
    case CallerOutcome::kNotAccepted:
      ++m_counts.m_not_accepted;
      break;
  }
  CheckGuarantee(id, request);
}

void Ledger::RecordRun(const std::string& id, const ServerRun& run) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end()) {
    Breach("nothing unasked", id,
           "runs at " + run.m_server + "; no caller sent it");
    return;
  }
  CallerRequest& request = it->second;
  if (request.m_path != run.m_path || request.m_body != run.m_body) {
    Breach("nothing unasked", id,
           "runs at " + run.m_server + " with another path or body");
  }
  const bool is_same_organisation =
      request.m_organisation == run.m_organisation;
  if (!is_same_organisation || run.m_organisation.empty() || run.m_has_key) {
    Breach("who asks", id,
           "runs at " + run.m_server + " for '" + run.m_organisation +
               "' instead of '" + request.m_organisation + "', key " +
               (run.m_has_key ? "forwarded" : "removed"));
  }
  ++request.m_runs;
  ++m_counts.m_runs;
  if (!request.m_idempotent && request.m_runs > 1) {
    Breach("at most once", id, "runs again, at " + run.m_server);
  }
  CheckGuarantee(id, request);
}

void Ledger::CheckGuarantee(const std::string& id,
                            const CallerRequest& request) {
  if (!request.m_idempotent && request.m_end == CallerOutcome::kNotRun &&
      request.m_runs > 0) {
    Breach("true refusal", id, "was reported as not run but ran");
  }
}

}  // namespace sorrelplank::soak
