/// @file proxy_metrics.cc Registration and export of metrics.

#include "proxy/proxy_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sorrelplank {

namespace {

namespace prom = prometheus;

/// Upper bounds in seconds.
const prom::Histogram::BucketBoundaries kLatencyBuckets{
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.8, 1.2, 2, 4, 8};

}  // namespace

class ProxyMetrics::Impl {
 public:
  explicit Impl(const std::string& vm)
      : m_labels{{"vm", vm}},
        m_answers(prom::BuildHistogram()
                      .Name("sorrelplank_answer_seconds")
                      .Help("Time from a request's arrival to its answer")
                      .Labels(m_labels)
                      .Register(m_registry)),
        m_attempts(prom::BuildHistogram()
                       .Name("sorrelplank_attempt_seconds")
                       .Help("Time of one send to a backend server")
                       .Labels(m_labels)
                       .Register(m_registry)),
        m_sends(prom::BuildCounter()
                    .Name("sorrelplank_sends_total")
                    .Help("Requests sent, by service and region of the server")
                    .Labels(m_labels)
                    .Register(m_registry)),
        m_second_choices(
            prom::BuildCounter()
                .Name("sorrelplank_second_choice_sends_total")
                .Help("Requests sent to another server than the object's first "
                      "one, which was expected to answer later")
                .Labels(m_labels)
                .Register(m_registry)),
        m_hedges(prom::BuildCounter()
                     .Name("sorrelplank_hedges_total")
                     .Help("Second attempts beside one in flight, by event")
                     .Labels(m_labels)
                     .Register(m_registry)),
        m_peer_sends(prom::BuildCounter()
                         .Name("sorrelplank_peer_sends_total")
                         .Help("Requests passed on to other entry VMs, by end")
                         .Labels(m_labels)
                         .Register(m_registry)),
        m_returning(prom::BuildCounter()
                        .Name("sorrelplank_returning_requests_total")
                        .Help("Requests that were rejected before, by outcome")
                        .Labels(m_labels)
                        .Register(m_registry)),
        m_gauges(prom::BuildGauge()
                     .Name("sorrelplank_state")
                     .Help("Present values, by name")
                     .Labels(m_labels)
                     .Register(m_registry)),
        m_store_calls(prom::BuildGauge()
                          .Name("sorrelplank_store_calls")
                          .Help("Calls to the store so far, by kind")
                          .Labels(m_labels)
                          .Register(m_registry)) {}

  void Set(const std::string& name, const ProxyGauges::Datagrams& datagrams) {
    Set(name, datagrams.m_received);
    Set(name + "_malformed", datagrams.m_malformed);
    Set(name + "_unsent", datagrams.m_unsent);
  }

  void Set(const std::string& name, double value) {
    m_gauges.Add({{"name", name}}).Set(value);
  }

  prom::Registry m_registry;
  prom::Labels m_labels;
  prom::Family<prom::Histogram>& m_answers;
  prom::Family<prom::Histogram>& m_attempts;
  prom::Family<prom::Counter>& m_sends;
  prom::Family<prom::Counter>& m_second_choices;
  prom::Family<prom::Counter>& m_hedges;
  prom::Family<prom::Counter>& m_peer_sends;
  prom::Family<prom::Counter>& m_returning;
  prom::Family<prom::Gauge>& m_gauges;
  prom::Family<prom::Gauge>& m_store_calls;
};

ProxyMetrics::ProxyMetrics(const std::string& vm)
    : m_impl(std::make_unique<Impl>(vm)) {}

ProxyMetrics::~ProxyMetrics() = default;

void ProxyMetrics::CountResponse(const std::string& outcome, Duration time) {
  m_impl->m_answers.Add({{"outcome", outcome}}, kLatencyBuckets)
      .Observe(ToMilliseconds(time) / 1000);
}

void ProxyMetrics::CountReturning(const std::string& outcome) {
  m_impl->m_returning.Add({{"outcome", outcome}}).Increment();
}

void ProxyMetrics::CountSend(const std::string& service,
                             const std::string& region) {
  m_impl->m_sends.Add({{"service", service}, {"region", region}}).Increment();
}

void ProxyMetrics::CountSecondChoice(const std::string& service) {
  m_impl->m_second_choices.Add({{"service", service}}).Increment();
}

void ProxyMetrics::CountHedge(const char* event) {
  m_impl->m_hedges.Add({{"event", event}}).Increment();
}

void ProxyMetrics::CountPeerSend(const char* end) {
  m_impl->m_peer_sends.Add({{"end", end}}).Increment();
}

void ProxyMetrics::CountAttempt(const char* end, Duration time) {
  m_impl->m_attempts.Add({{"end", end}}, kLatencyBuckets)
      .Observe(ToMilliseconds(time) / 1000);
}

std::string ProxyMetrics::ToText(const ProxyGauges& gauges) {
  m_impl->Set("running", gauges.m_running);
  m_impl->Set("waiting", gauges.m_waiting);
  m_impl->Set("servers", gauges.m_servers);
  m_impl->Set("table_version", gauges.m_table_version);
  m_impl->Set("store_age_seconds", gauges.m_store_age_s);
  m_impl->Set("connections_opened", gauges.m_connections_opened);
  m_impl->Set("connections_closed_for_others",
              gauges.m_connections_closed_for_others);
  m_impl->Set("log_lines_dropped", gauges.m_log_lines_dropped);
  m_impl->Set("body_bytes", gauges.m_body_bytes);
  m_impl->Set("body_bytes_bound", gauges.m_body_bytes_bound);
  for (const auto& [kind, calls] : gauges.m_store_calls) {
    m_impl->m_store_calls.Add({{"kind", kind}}).Set(calls);
  }
  m_impl->Set("watches_store", gauges.m_watches_store);
  m_impl->Set("feed_followers", gauges.m_feed_followers);
  m_impl->Set("suspected_requests", gauges.m_suspected_requests);
  m_impl->Set("held_requests", gauges.m_held_requests);
  m_impl->Set("crash_notes_waiting", gauges.m_crash_notes_waiting);
  m_impl->Set("awaiting_tokens", gauges.m_awaiting_tokens);
  m_impl->Set("quotas_kept", gauges.m_quotas_kept);
  m_impl->Set("limited_servers", gauges.m_limited_servers);
  m_impl->Set("paused_servers", gauges.m_paused_servers);
  m_impl->Set("awaiting_server_tokens", gauges.m_awaiting_server_tokens);
  m_impl->Set("limits_kept", gauges.m_limits_kept);
  m_impl->Set("servers_out_of_reach", gauges.m_servers_out_of_reach);
  m_impl->Set("load_messages", gauges.m_load_messages);
  m_impl->Set("quota_messages", gauges.m_quota_messages);
  return prom::TextSerializer().Serialize(m_impl->m_registry.Collect());
}

}  // namespace sorrelplank
