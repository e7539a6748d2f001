/// @file operator_api.h The operators' HTTP API of an entry VM.

#ifndef SORRELPLANK_SERVE_OPERATOR_API_H_
#define SORRELPLANK_SERVE_OPERATOR_API_H_

#include <functional>
#include <set>
#include <string>

#include "net/http_message_type.h"

namespace sorrelplank {

class ConfigSync;
class MetricsExport;
class NodeDriver;
class PeerClient;
class PlatformClient;

/// The parts of the process that the API reads.
struct OperatorSources {
  NodeDriver& m_driver;
  const ConfigSync& m_config_sync;
  const PlatformClient& m_platform;
  PeerClient& m_peers;
  MetricsExport& m_metrics;
};

/// Serves /metrics, /v1/status, /v1/timeline, /v1/explain and /v1/ready; with
/// a CutOffSetter also /v1/fault/cut.
class OperatorApi {
 public:
  /// Sets the addresses to cut off; fault injection only.
  using CutOffSetter = std::function<void(std::set<uint32_t>)>;

  OperatorApi(OperatorSources sources, CutOffSetter set_cut_off);

  HttpResponse Answer(const HttpRequest& request);

 private:
  HttpResponse Status();
  HttpResponse Timeline(const HttpRequest& request) const;
  HttpResponse Explain(const HttpRequest& request);
  HttpResponse Ready() const;
  HttpResponse Metrics();
  HttpResponse CutOff(const HttpRequest& request);

  OperatorSources m_sources;
  CutOffSetter m_set_cut_off;
};

/// Formats the answer to a lookup as JSON.
std::string LookupToJson(const struct LookupAnswer& answer,
                         const struct Snapshot& config);

}  // namespace sorrelplank

#endif  // SORRELPLANK_SERVE_OPERATOR_API_H_
