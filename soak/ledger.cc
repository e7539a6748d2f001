/// @file ledger.cc Checks on each event.

#include "soak/ledger.h"

#include <utility>

#include "serve/clock_func.h"

namespace sorrelplank::soak {

namespace {

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void Ledger::Sent(const std::string& id, CallerRequest request) {
  ++m_counts.m_sent;
  request.m_sent_order = m_next_order++;
  m_requests[id] = std::move(request);
}

const CallerRequest* Ledger::Find(const std::string& id) const {
  const auto it = m_requests.find(id);
  return it == m_requests.end() ? nullptr : &it->second;
}

std::string Ledger::AnswerBody(const std::string& id, const std::string& path) {
  return "answer to " + id + " on " + path;
}

void Ledger::Breach(const std::string& promise,
                    const std::string& id,
                    const std::string& detail) {
  m_breaches.push_back(promise + ": request " + id + " " + detail);
}

void Ledger::Answered(const std::string& id, const CallerAnswer& answer) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end() || it->second.m_end != CallerEnd::kPending) {
    Breach("own answer", id, "got an answer that it did not wait for");
    return;
  }
  if (!answer.m_request_id.empty() && answer.m_request_id != id) {
    Breach("own answer", id, "got the answer to " + answer.m_request_id);
  }
  const bool is_success = answer.m_status / 100 == 2;
  if (is_success && (!answer.m_has_stamp ||
                     answer.m_body != AnswerBody(id, it->second.m_path))) {
    Breach("whole answer", id, "got a success that no server gave");
  }
  if (is_success) {
    Ended(id, CallerEnd::kSuccess);
  } else {
    Ended(id, PromisesNotRun(answer.m_status) ? CallerEnd::kNotRun
                                              : CallerEnd::kFailure);
  }
}

void Ledger::Ended(const std::string& id, CallerEnd end) {
  CallerRequest& request = m_requests.at(id);
  request.m_end = end;
  request.m_end_order = m_next_order++;
  request.m_ended = SteadyNow();
  switch (end) {
    case CallerEnd::kPending:
      break;
    case CallerEnd::kSuccess:
      ++m_counts.m_success;
      if (request.m_runs == 0) {
        Breach("whole answer", id, "succeeded and never ran");
      }
      break;
    case CallerEnd::kNotRun:
      ++m_counts.m_not_run;
      break;
    case CallerEnd::kFailure:
      ++m_counts.m_failure;
      break;
    case CallerEnd::kCut:
      ++m_counts.m_cut;
      break;
    case CallerEnd::kNotAccepted:
      ++m_counts.m_not_accepted;
      break;
  }
  CheckPromise(id, request);
}

void Ledger::Runs(const std::string& id, const ServerRun& run) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end()) {
    Breach("nothing unasked", id,
           "runs at " + run.m_server + "; nobody sent it");
    return;
  }
  CallerRequest& request = it->second;
  if (request.m_path != run.m_path || request.m_body != run.m_body) {
    Breach("nothing unasked", id, "runs at " + run.m_server + " altered");
  }
  const bool is_callers = request.m_organisation == run.m_organisation;
  if (!is_callers || run.m_organisation.empty() || run.m_has_key) {
    Breach("who asks", id,
           "runs at " + run.m_server + " for '" + run.m_organisation +
               "' instead of '" + request.m_organisation + "', key " +
               (run.m_has_key ? "passed on" : "kept"));
  }
  ++request.m_runs;
  ++m_counts.m_runs;
  if (!request.m_idempotent && request.m_runs > 1) {
    Breach("at most once", id, "runs again, at " + run.m_server);
  }
  CheckPromise(id, request);
}

void Ledger::CheckPromise(const std::string& id, const CallerRequest& request) {
  if (!request.m_idempotent && request.m_end == CallerEnd::kNotRun &&
      request.m_runs > 0) {
    Breach("true refusal", id, "was told that it did not run, and ran");
  }
}

}  // namespace sorrelplank::soak
