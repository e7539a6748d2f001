/// @file metrics_export.cc Exports metrics with prometheus-cpp.

#include "serve/metrics_export.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <utility>

#include "core/node.h"

namespace sorrelplank {

namespace {

namespace prom = prometheus;

const prom::Histogram::BucketBoundaries kSecondsBuckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

/// Builds metric families from plain numbers.
class MetricFamilyBuilder {
 public:
  MetricFamilyBuilder(std::vector<prom::MetricFamily>& out, std::string vm)
      : m_out(out), m_vm(std::move(vm)) {}

  void StartFamily(const char* name, const char* help, prom::MetricType type) {
    m_out.push_back({name, help, type, {}});
  }

  void Add(double value,
           const char* label = nullptr,
           const std::string& label_value = "") {
    prom::ClientMetric metric;
    metric.label.push_back({"vm", m_vm});
    if (label != nullptr) {
      metric.label.push_back({label, label_value});
    }
    metric.counter.value = value;
    metric.gauge.value = value;
    m_out.back().metric.push_back(std::move(metric));
  }

  void Counter(const char* name, const char* help, uint64_t value) {
    StartFamily(name, help, prom::MetricType::Counter);
    Add(static_cast<double>(value));
  }

  void Gauge(const char* name, const char* help, double value) {
    StartFamily(name, help, prom::MetricType::Gauge);
    Add(value);
  }

 private:
  std::vector<prom::MetricFamily>& m_out;
  std::string m_vm;
};

void AddCounters(const NodeCounters& counters, MetricFamilyBuilder& builder) {
  builder.Counter("sorrelplank_calls_total", "Requests of callers.",
                  counters.m_calls);
  builder.Counter("sorrelplank_handed_on_here_total",
                  "Requests handed on to this entry VM.",
                  counters.m_handed_on_here);
  builder.Counter("sorrelplank_answered_total", "Requests answered.",
                  counters.m_answered);
  builder.Counter("sorrelplank_dispatched_total",
                  "Tries at backend servers held here.", counters.m_dispatched);
  builder.Counter("sorrelplank_handed_on_total", "Tries at other entry VMs.",
                  counters.m_handed_on);
  builder.Counter("sorrelplank_queued_total",
                  "Requests that waited for a slot.", counters.m_queued);
  builder.Counter("sorrelplank_replayed_total",
                  "Repeats answered from an earlier run.", counters.m_replayed);
  builder.Counter("sorrelplank_late_ends_total",
                  "Ends of tries that had been given up.",
                  counters.m_late_ends);
  builder.Counter("sorrelplank_fences_total",
                  "Pauses of this process that were noticed.",
                  counters.m_fences);
  builder.Counter("sorrelplank_gossip_records_total",
                  "Newer records of other entry VMs.",
                  counters.m_gossip_records);
  builder.StartFamily("sorrelplank_refused_total",
                      "Requests given up, by reason.",
                      prom::MetricType::Counter);
  for (size_t at = 0; at < counters.m_refused.size(); ++at) {
    builder.Add(static_cast<double>(counters.m_refused[at]), "reason",
                DescribeRefusal(static_cast<RefusalReason>(at)).m_name);
  }
  builder.StartFamily("sorrelplank_tries_total", "Ends of tries, by outcome.",
                      prom::MetricType::Counter);
  for (size_t at = 0; at < counters.m_outcomes.size(); ++at) {
    builder.Add(static_cast<double>(counters.m_outcomes[at]), "outcome",
                DescribeOutcome(static_cast<AttemptOutcome>(at)).m_name);
  }
}

void AddState(Node& node, TimePoint now, MetricFamilyBuilder& builder) {
  builder.Gauge(
      "sorrelplank_config_version", "Version of the configuration in force.",
      node.Config() ? static_cast<double>(node.Config()->m_version.Get()) : 0);
  builder.Gauge("sorrelplank_open_calls", "Requests without an answer yet.",
                static_cast<double>(node.OpenCalls()));
  if (!node.Config()) {
    return;
  }
  const auto slots = node.Slots(now);
  builder.StartFamily("sorrelplank_slots_held",
                      "Slots of backend servers held here.",
                      prom::MetricType::Gauge);
  for (size_t at = 0; at < slots.size(); ++at) {
    builder.Add(slots[at].m_held, "service",
                node.Config()->m_services[at].m_name);
  }
  builder.StartFamily("sorrelplank_slots_free", "Of these, free now.",
                      prom::MetricType::Gauge);
  for (size_t at = 0; at < slots.size(); ++at) {
    builder.Add(slots[at].m_free, "service",
                node.Config()->m_services[at].m_name);
  }
}

}  // namespace

class MetricsExport::Impl {
 public:
  explicit Impl(std::string vm)
      : m_vm(std::move(vm)),
        m_request_seconds(
            prom::BuildHistogram()
                .Name("sorrelplank_request_seconds")
                .Help("Time from a request's arrival to its answer.")
                .Register(m_registry)),
        m_malformed(prom::BuildCounter()
                        .Name("sorrelplank_malformed_total")
                        .Help("Messages that made no sense, by sender.")
                        .Register(m_registry)),
        m_lookups(prom::BuildCounter()
                      .Name("sorrelplank_lookups_total")
                      .Help("Lookups answered.")
                      .Register(m_registry)
                      .Add({{"vm", m_vm}})) {}

  void CountResponse(const std::string& service,
                     const char* verdict,
                     Duration took) {
    m_request_seconds
        .Add({{"vm", m_vm}, {"service", service}, {"verdict", verdict}},
             kSecondsBuckets)
        .Observe(std::chrono::duration<double>(took).count());
  }

  void CountMalformed(const std::string& from) {
    m_malformed.Add({{"vm", m_vm}, {"from", from}}).Increment();
  }

  void CountLookup() { m_lookups.Increment(); }

  std::string Text(Node& node,
                   uint64_t platform_calls,
                   uint64_t control_bytes,
                   TimePoint now) {
    std::vector<prom::MetricFamily> families = m_registry.Collect();
    MetricFamilyBuilder builder(families, m_vm);
    AddCounters(node.Counters(), builder);
    AddState(node, now, builder);
    builder.Counter("sorrelplank_platform_calls_total",
                    "Calls to the platform, watches counted as one.",
                    platform_calls);
    builder.Counter("sorrelplank_control_bytes_total",
                    "Bytes of heartbeats and configuration sent.",
                    control_bytes);
    return prom::TextSerializer().Serialize(families);
  }

 private:
  std::string m_vm;
  prom::Registry m_registry;
  prom::Family<prom::Histogram>& m_request_seconds;
  prom::Family<prom::Counter>& m_malformed;
  prom::Counter& m_lookups;
};

MetricsExport::MetricsExport(const std::string& vm)
    : m_impl(std::make_unique<Impl>(vm)) {}

MetricsExport::~MetricsExport() = default;

void MetricsExport::CountResponse(const std::string& service,
                                  const char* verdict,
                                  Duration took) {
  m_impl->CountResponse(service, verdict, took);
}

void MetricsExport::CountMalformed(const std::string& from) {
  m_impl->CountMalformed(from);
}

void MetricsExport::CountLookup() {
  m_impl->CountLookup();
}

std::string MetricsExport::Text(Node& node,
                                uint64_t platform_calls,
                                uint64_t control_bytes,
                                TimePoint now) {
  return m_impl->Text(node, platform_calls, control_bytes, now);
}

}  // namespace sorrelplank
