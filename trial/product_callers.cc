/// @file product_callers.cc Callers and injected faults of a product run.

#include <algorithm>

#include "trial/product_run.h"

namespace sorrelplank::trial {

namespace {

constexpr Duration kFaultInterval = seconds(6);
constexpr int kMaxSends = 4;
constexpr size_t kMaxTraceLines = 60;

}  // namespace

void ProductRun::Begin(const Arrival& arrival) {
  auto job = std::make_shared<CallerJob>();
  job->m_arrival = arrival;
  job->m_sent = m_simulation.m_queue.Now();
  auto& [expires_at, cached_vms] = m_lookups[arrival.m_client_ip];
  if (expires_at <= m_simulation.m_queue.Now()) {
    std::uniform_int_distribution<size_t> pick(0, m_vms.size() - 1);
    for (size_t tries = 0; tries < m_vms.size(); ++tries) {
      const FakeVm& vm = m_vms[pick(m_simulation.m_random)];
      if (!vm.m_up || m_simulation.m_queue.Now() < vm.m_paused_until) {
        continue;
      }
      const LookupAnswer answer =
          vm.m_node->Lookup(arrival.m_client_ip, m_simulation.m_queue.Now());
      if (!answer.m_vms.empty()) {
        cached_vms = answer.m_vms;
        expires_at = m_simulation.m_queue.Now() + answer.m_ttl;
        break;
      }
    }
  }
  job->m_vms = cached_vms;
  Send(job);
}

void ProductRun::Send(const JobPtr& job) {
  if (job->m_vms.empty() || job->m_send_count >= kMaxSends) {
    job->m_is_over = true;
    ++(job->m_tried.empty() ? m_simulation.m_result.m_not_run
                            : m_simulation.m_result.m_may_have_run);
    ++m_simulation.m_result.m_reasons["caller_gave_up"];
    return;
  }
  const LookupVm& named = job->m_vms[job->m_next_vm % job->m_vms.size()];
  const size_t vm = VmAt({named.m_ip, 7070});
  ++job->m_send_count;
  const int send = ++job->m_current;
  if (!m_vms[vm].m_up) {
    // Connection refused: the request certainly did not run, so the VM does not
    // go into the list of tried VMs.
    ++job->m_next_vm;
    m_simulation.m_queue.After(2 * m_simulation.ClientLatency(),
                               [this, job] { Send(job); });
    return;
  }
  const Service& service = m_simulation.m_config->Get(job->m_arrival.m_service);
  IncomingCall call;
  call.m_request = RequestId(m_next_request++);
  call.m_service = service.m_hash;
  call.m_caller_ip = job->m_arrival.m_client_ip;
  if (!service.m_idempotent) {
    call.m_key = KeyHash(job->m_arrival.m_number);
    call.m_tried =
        job->m_tried.empty() ? Tried(TriedNone{}) : Tried(job->m_tried);
  }
  std::uniform_int_distribution<int> late(0, 499);
  const bool is_late = m_simulation.m_options.m_faults.m_late_requests &&
                       late(m_simulation.m_random) == 0;
  const Duration delay =
      m_simulation.ClientLatency() +
      (is_late ? service.m_deadline + milliseconds(1500) : Duration::zero());
  AppendHistory(job->m_arrival, "sent to " + m_vms[vm].m_name +
                                    (is_late ? ", delayed in transit" : ""));
  m_origins[{vm, call.m_request}] = {job,         send,  0,      0,
                                     AttemptId(), false, is_late};
  Deliver(vm, m_vms[vm].m_generation, delay, CallArrived{call});
  const Duration client_timeout =
      service.m_deadline + 2 * m_simulation.ClientLatency() + milliseconds(500);
  m_simulation.m_queue.After(client_timeout,
                             [this, job, send] { HandleLostSend(job, send); });
}

void ProductRun::HandleLostSend(const JobPtr& job, int send) {
  if (job->m_is_over || send != job->m_current) {
    return;
  }
  const LookupVm& named = job->m_vms[job->m_next_vm % job->m_vms.size()];
  job->m_tried.push_back({named.m_name, named.m_incarnation});
  ++job->m_next_vm;
  Send(job);
}

void ProductRun::DeliverResponse(const JobPtr& job,
                                 int send,
                                 Verdict verdict,
                                 const std::string& reason,
                                 uint64_t response_to) {
  m_simulation.m_queue.After(m_simulation.ClientLatency(), [this, job, send,
                                                            verdict, reason,
                                                            response_to] {
    if (job->m_is_over || send != job->m_current) {
      return;  // The caller has disconnected; drop the response.
    }
    job->m_is_over = true;
    AppendHistory(job->m_arrival, std::string("answered ") +
                                      VerdictName(verdict) + " " + reason);
    const uint64_t number = job->m_arrival.m_number;
    const bool idempotent =
        m_simulation.m_config->Get(job->m_arrival.m_service).m_idempotent;
    const int runs = m_runs.contains(number) ? m_runs.at(number) : 0;
    if (verdict == Verdict::kRan) {
      if (response_to != number) {
        m_simulation.Fail("a caller got another caller's answer");
      }
      if (runs == 0) {
        m_simulation.Fail("a request was answered that never ran");
      }
      m_simulation.CountResponse(job->m_arrival.m_service, job->m_sent);
      return;
    }
    if (verdict == Verdict::kNotRun && runs > 0 && !idempotent) {
      FailWithHistory(job->m_arrival,
                      "a caller was told \"not run\" of a request that ran");
    }
    ++(verdict == Verdict::kNotRun ? m_simulation.m_result.m_not_run
                                   : m_simulation.m_result.m_may_have_run);
    ++m_simulation.m_result.m_reasons[reason];
  });
}

void ProductRun::ScheduleFaults() {
  const Faults& faults = m_simulation.m_options.m_faults;
  if (faults.m_shift) {
    m_simulation.m_queue.After(seconds(5), [this] {
      const auto& places = m_simulation.m_config->m_places;
      PublishSnapshot(R"({"shifts":{"trial":{"from":")" + places[0].m_name +
                      R"(","to":")" + places[2].m_name +
                      R"(","percent":100}}})");
    });
  }
  if (faults.m_place) {
    m_simulation.m_queue.After(seconds(10), [this] {
      PublishSnapshot(R"({"places":{")" +
                      m_simulation.m_config->m_places[1].m_name +
                      R"(":{"leaving":true}}})");
      for (size_t at = 0; at < m_simulation.m_backends.size(); ++at) {
        if (m_simulation.m_backends[at].m_place.Get() == 1) {
          m_leaving[at] = m_simulation.m_queue.Now();
        }
      }
    });
  }
  if (faults.m_region) {
    m_simulation.m_queue.After(seconds(10), [this] {
      for (size_t vm = 0; vm < m_vms.size(); ++vm) {
        if (m_simulation.m_config->Get(m_vms[vm].m_place).m_region.Get() == 0) {
          Kill(vm);
        }
      }
      for (FakeBackend& backend : m_simulation.m_backends) {
        backend.m_down |=
            m_simulation.m_config->Get(backend.m_place).m_region.Get() == 0;
      }
    });
  }
  InjectFaults();
}

void ProductRun::InjectFaults() {
  if (m_simulation.m_arrivals_over) {
    return;
  }
  const Faults& faults = m_simulation.m_options.m_faults;
  auto& random = m_simulation.m_random;
  std::uniform_int_distribution<size_t> any_vm(0, m_vms.size() - 1);
  std::uniform_int_distribution<int> any_ms(0, 5000);
  const auto pick_up = [&] {
    size_t vm = any_vm(random);
    return m_vms[vm].m_up ? vm : m_vms.size();
  };
  if (const size_t vm = pick_up(); faults.m_kill && vm < m_vms.size()) {
    Trace("kill " + m_vms[vm].m_name);
    Kill(vm);
    m_simulation.m_queue.After(milliseconds(500 + 2 * any_ms(random)),
                               [this, vm] { Boot(vm); });
  }
  if (const size_t vm = pick_up(); faults.m_pause && vm < m_vms.size()) {
    Trace("pause " + m_vms[vm].m_name);
    m_vms[vm].m_paused_until =
        m_simulation.m_queue.Now() + milliseconds(200 + 2 * any_ms(random));
  }
  if (const size_t vm = pick_up(); faults.m_stop && vm < m_vms.size()) {
    Trace("stop " + m_vms[vm].m_name);
    Feed(vm, StopRequested{});
  }
  if (faults.m_partition) {
    const size_t a = any_vm(random) / 2;
    const size_t b = any_vm(random) / 2;
    if (a != b) {
      const auto pair = std::make_pair(std::min(a, b), std::max(a, b));
      Trace("cut " + std::to_string(pair.first) + " " +
            std::to_string(pair.second));
      m_partitions.insert(pair);
      m_simulation.m_queue.After(milliseconds(any_ms(random) * 2),
                                 [this, pair] { m_partitions.erase(pair); });
    }
  }
  if (faults.m_drain) {
    std::uniform_int_distribution<size_t> any(
        0, m_simulation.m_backends.size() - 1);
    const size_t at = any(random);
    PublishSnapshot(R"({"backend_servers":{")" +
                    m_simulation.m_config->m_backends[at].m_name +
                    R"(":{"leaving":true}}})");
    m_leaving = {{at, m_simulation.m_queue.Now()}};
  }
  m_simulation.m_queue.After(kFaultInterval, [this] { InjectFaults(); });
}

void ProductRun::PublishSnapshot(const std::string& overlay) {
  m_current = m_simulation.Parse(++m_version, overlay);
  // The platform notifies two entry VMs; the others learn of it by gossip.
  size_t notified_vms = 0;
  std::uniform_int_distribution<size_t> any(0, m_vms.size() - 1);
  for (size_t tries = 0; tries < 100 && notified_vms < 2; ++tries) {
    const size_t vm = any(m_simulation.m_random);
    if (m_vms[vm].m_up &&
        m_vms[vm].m_paused_until <= m_simulation.m_queue.Now()) {
      ++notified_vms;
      Deliver(vm, m_vms[vm].m_generation, milliseconds(100),
              SnapshotInstalled{m_current});
    }
  }
}

void ProductRun::Trace(const std::string& line) {
  m_trace.push_back(TimePrefix() + line);
  if (m_trace.size() > kMaxTraceLines) {
    m_trace.pop_front();
  }
}

void ProductRun::AppendHistory(const Arrival& arrival,
                               const std::string& line) {
  if (!m_simulation.m_config->Get(arrival.m_service).m_idempotent) {
    m_histories[arrival.m_number].push_back(TimePrefix() + line);
  }
}

void ProductRun::FailWithHistory(const Arrival& arrival,
                                 const std::string& violation) {
  m_simulation.Fail(violation);
  m_trace.push_back("events of that request:");
  for (const std::string& line : m_histories[arrival.m_number]) {
    m_trace.push_back("  " + line);
  }
}

std::string ProductRun::TimePrefix() const {
  return std::to_string(
             ToMilliseconds(m_simulation.m_queue.Now().time_since_epoch())) +
         " ";
}

}  // namespace sorrelplank::trial
