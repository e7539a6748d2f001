/// @file body_budget.h Bounds the memory of open requests.

#ifndef SORRELPLANK_PROXY_BODY_BUDGET_H_
#define SORRELPLANK_PROXY_BODY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "core/time_type.h"
#include "proxy/body_reservation.h"

namespace sorrelplank {

/// Size of a request as it is held in memory.
struct RequestSize {
  size_t m_head_bytes = 0;
  size_t m_body_bytes = 0;
};

/// One bound on the bytes of all requests and responses that this VM holds,
/// derived from its memory. Answers hundreds of clients that send bodies of the
/// largest allowed size at once, or that read their responses slowly: without a
/// bound, the smallest VM runs out of memory and loses every open request.
///
/// Requests are refused if they do not fit. Responses always count, even beyond
/// the bound, because a server has already done the work for them.
class BodyBudget {
 public:
  /// Sets the memory of the VM; zero means that it is unknown, and that there
  /// is no bound. Applies to requests that arrive later.
  void SetMemory(size_t memory_bytes);

  /// Reserves memory for a request, or returns nothing if it does not fit next
  /// to what is held and to the responses that the open requests will bring.
  std::optional<BodyReservation> Reserve(const RequestSize& size,
                                         size_t open_requests);

  /// Grows a reservation to the size of a request whose body is arriving, or
  /// returns false if that does not fit.
  bool GrowTo(BodyReservation& held,
              const RequestSize& size,
              size_t open_requests);

  /// Whether a request would fit if nothing else were held.
  bool FitsAlone(const RequestSize& size) const;

  /// An empty reservation for a request whose body is arriving.
  BodyReservation ForRequest() const { return BodyReservation(m_held); }

  /// Records the size of a server's response, as an estimate of later ones.
  void AddResponse(size_t body_bytes);

  /// An empty reservation for a response, which grows as its bytes arrive.
  BodyReservation ForResponse() const { return BodyReservation(m_held); }

  /// When a request that did not fit may be sent again.
  static Duration RetryAfter(uint64_t seed);

  size_t Held() const { return *m_held; }
  /// Zero if there is no bound.
  size_t Bound() const { return m_bound; }
  /// Bytes of all responses that are not complete; zero if there is no bound.
  size_t ArrivingBound() const;

 private:
  /// Bytes that a request counts for.
  static size_t ChargeFor(const RequestSize& size);
  /// Bytes that may be held once a request with this body has been accepted.
  size_t LimitFor(size_t body_bytes) const;

  /// Assumed before the first responses. Above the usual response to a read,
  /// and low enough for over a thousand open requests on a VM of 160 MB.
  static constexpr double kInitialResponseBytes = 32 * 1024;

  size_t m_bound = 0;
  /// Moving average of the body of a response.
  double m_response_bytes = kInitialResponseBytes;
  std::shared_ptr<size_t> m_held = std::make_shared<size_t>(0);
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_BODY_BUDGET_H_
