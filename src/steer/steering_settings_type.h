/// @file steering_settings_type.h Location and limits of one entry VM's
/// decisions.

#ifndef SORRELPLANK_STEER_STEERING_SETTINGS_TYPE_H_
#define SORRELPLANK_STEER_STEERING_SETTINGS_TYPE_H_

#include <map>
#include <string>

#include "core/time_type.h"
#include "steer/quota_bounds_type.h"

namespace sorrelplank {

/// Location of this VM, and limits that apply to all entry VMs together.
struct SteeringSettings {
  std::string m_vm;
  std::string m_failure_domain;
  std::string m_region;
  /// Region of each failure domain.
  std::map<std::string, std::string> m_regions;
  /// Retries allowed per request of a service within the window.
  double m_retry_ratio = 0;
  /// Retries allowed per window in addition to the ratio.
  double m_retry_extra = 0;
  Duration m_retry_window = seconds(10);
  /// Limit on requests to a cold server within any second: the service's rate
  /// for cold servers x factor + slack.
  double m_cold_factor = 1;
  double m_cold_slack = 0;
  /// Maximum fraction of a region's requests that may change the region they
  /// run in between two adjacent windows of 2 s.
  double m_max_shift = 0.15;
  /// A service is uneven if the region with the most slots has at least this
  /// many times those of the one with the fewest; 0 treats none as uneven. At
  /// twice the slots, the smaller region cannot serve an equal share of the
  /// callers even if the larger one's servers are half idle.
  double m_uneven_capacity_ratio = 2;
  QuotaBounds m_quotas = {};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_STEERING_SETTINGS_TYPE_H_
