/// @file classify_filter.cc Classification by the configuration in force.

#include "pipeline/classify_filter.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Callers of one /24 network count as one for fairness.
constexpr int kCallerIdShiftBits = 8;

}  // namespace

std::variant<Call, RefusalReason> ClassifyFilter::Apply(
    const IncomingCall& incoming,
    TimePoint now) const {
  const auto id = m_snapshot.FindService(incoming.m_service);
  if (!id) {
    return RefusalReason::kUnknownService;
  }
  const Service& service = m_snapshot.Get(*id);
  if (incoming.m_body_size > service.m_body_limit_bytes) {
    return RefusalReason::kBodyTooLarge;
  }
  const Duration time_left = std::min(
      service.m_deadline, incoming.m_time_left.value_or(service.m_deadline));
  if (time_left <= Duration::zero()) {
    return RefusalReason::kDeadlinePassed;
  }
  Call call;
  call.m_request = incoming.m_request;
  call.m_service = incoming.m_service;
  call.m_caller = CallerId(incoming.m_caller_ip >> kCallerIdShiftBits);
  call.m_home_place = incoming.m_home_place;
  if (!incoming.m_handed_on) {
    const auto home = m_snapshot.m_client_blocks.Find(incoming.m_caller_ip);
    if (home) {
      call.m_home_place = m_snapshot.Get(*home).m_hash;
    }
  }
  call.m_arrived = now;
  call.m_deadline = now + time_left;
  call.m_idempotent = service.m_idempotent;
  call.m_handed_on = incoming.m_handed_on;
  call.m_from = incoming.m_from;
  call.m_key = incoming.m_key;
  call.m_tried = incoming.m_tried;
  return call;
}

}  // namespace sorrelplank
