/// @file body_budget.cc Derivation of the bound, and admission of requests.

#include "proxy/body_budget.h"

#include <algorithm>

namespace sorrelplank {

namespace {

/// Memory of the process without open requests: about 15 MB resident on a VM of
/// 160 MB, and as much as half of that again for tables and logs under load.
constexpr size_t kProcessBytes = 24'000'000;
/// Fraction of the remaining memory that may be held. As much again is left for
/// one more copy: of a request while it is written to a server, or of a
/// response whose buffer grows. The last fifth is left for hedges, for the
/// buffers of sockets and for bodies that are still being received.
constexpr double kHeldFraction = 0.4;
/// Lower limit of the bound as a fraction of all memory, so that a VM hardly
/// larger than the process still serves small requests.
constexpr double kMinBoundFraction = 0.1;
/// Bodies of this size and above are large: well above usual reads and writes,
/// and below the mean body of an upload (60 KB).
constexpr size_t kLargeBodyBytes = 16U << 10U;
/// Fraction of the bound that only small requests can use. On a VM of 160 MB it
/// holds over a thousand of them, which exceeds what such a VM has open.
constexpr double kSmallReserveFraction = 0.125;
/// Fraction of the bound that responses can use before they are complete.
constexpr double kArrivingFraction = 0.4;
/// Charged for each open request besides head and body: the parsed fields, and
/// the records that the proxy and steering keep. Without it, requests without a
/// body would always fit.
constexpr size_t kOpenRequestBytes = 4096;
/// Weight of the newest response in the mean size of a response. The VM's mix
/// of requests shows within about twenty responses.
constexpr double kResponseWeight = 0.05;
/// Earliest and latest time at which a refused request may be sent again: about
/// the time in which a server answers a request with a large body, and three
/// times that, so that requests refused together return one after the other.
constexpr Duration kMinRetryAfter = milliseconds(300);
constexpr Duration kMaxRetryAfter = milliseconds(900);

}  // namespace

void BodyBudget::SetMemory(size_t memory_bytes) {
  const size_t available = memory_bytes - std::min(memory_bytes, kProcessBytes);
  m_bound = static_cast<size_t>(
      std::max(static_cast<double>(available) * kHeldFraction,
               static_cast<double>(memory_bytes) * kMinBoundFraction));
}

size_t BodyBudget::LimitFor(size_t body_bytes) const {
  if (body_bytes < kLargeBodyBytes) {
    return m_bound;
  }
  return m_bound - static_cast<size_t>(static_cast<double>(m_bound) *
                                       kSmallReserveFraction);
}

std::optional<BodyReservation> BodyBudget::Reserve(const RequestSize& size,
                                                   size_t open_requests) {
  BodyReservation reservation = ForRequest();
  if (!GrowTo(reservation, size, open_requests)) {
    return std::nullopt;
  }
  return reservation;
}

bool BodyBudget::GrowTo(BodyReservation& held,
                        const RequestSize& size,
                        size_t open_requests) {
  const size_t bytes = ChargeFor(size);
  const size_t more = bytes - std::min(bytes, held.Bytes());
  const auto expected = static_cast<size_t>(m_response_bytes *
                                            static_cast<double>(open_requests));
  if (m_bound != 0 && Held() + expected + more > LimitFor(size.m_body_bytes)) {
    return false;
  }
  held.Grow(more);
  return true;
}

bool BodyBudget::FitsAlone(const RequestSize& size) const {
  return m_bound == 0 || ChargeFor(size) <= LimitFor(size.m_body_bytes);
}

size_t BodyBudget::ChargeFor(const RequestSize& size) {
  return kOpenRequestBytes + size.m_head_bytes + size.m_body_bytes;
}

void BodyBudget::AddResponse(size_t body_bytes) {
  m_response_bytes +=
      (static_cast<double>(body_bytes) - m_response_bytes) * kResponseWeight;
}

size_t BodyBudget::ArrivingBound() const {
  return static_cast<size_t>(static_cast<double>(m_bound) * kArrivingFraction);
}

Duration BodyBudget::RetryAfter(uint64_t seed) {
  const auto spread = static_cast<uint64_t>(
      (kMaxRetryAfter - kMinRetryAfter + Duration(1)).count());
  return kMinRetryAfter + Duration(static_cast<int64_t>(seed % spread));
}

}  // namespace sorrelplank
