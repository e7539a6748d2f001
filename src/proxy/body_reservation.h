/// @file body_reservation.h Bytes counted against the body budget.

#ifndef SORRELPLANK_PROXY_BODY_RESERVATION_H_
#define SORRELPLANK_PROXY_BODY_RESERVATION_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace sorrelplank {

/// Counts bytes as held until it is destroyed. Move-only, so that they are
/// released exactly once, whichever way a request ends. Keeps the counter
/// alive, because a response can be written after its proxy is destroyed.
class BodyReservation {
 public:
  /// Counts nothing.
  BodyReservation() = default;
  explicit BodyReservation(std::shared_ptr<size_t> held)
      : m_held(std::move(held)) {}
  BodyReservation(BodyReservation&& other) noexcept
      : m_held(std::move(other.m_held)),
        m_bytes(std::exchange(other.m_bytes, 0)) {}
  BodyReservation& operator=(BodyReservation&& other) noexcept {
    if (this != &other) {
      Release();
      m_held = std::move(other.m_held);
      m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
  }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;
  ~BodyReservation() { Release(); }

  void Grow(size_t bytes) {
    if (m_held) {
      *m_held += bytes;
      m_bytes += bytes;
    }
  }

  /// May grow again afterwards.
  void Release() {
    if (m_held) {
      *m_held -= std::exchange(m_bytes, 0);
    }
  }

  size_t Bytes() const { return m_bytes; }

 private:
  std::shared_ptr<size_t> m_held;
  size_t m_bytes = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_BODY_RESERVATION_H_
