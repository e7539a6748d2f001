/// @file proxy_link.h One connection through a FaultProxy.

#ifndef SORRELPLANK_SOAK_PROXY_LINK_H_
#define SORRELPLANK_SOAK_PROXY_LINK_H_

#include <array>
#include <asio.hpp>
#include <memory>
#include <string>

namespace sorrelplank::soak {

class FaultProxy;

/// A caller's socket and the one to the target.
class ProxyLink : public std::enable_shared_from_this<ProxyLink> {
 public:
  ProxyLink(FaultProxy& proxy, asio::ip::tcp::socket caller);

  void Start();
  /// Ends both connections with a reset.
  void Reset();

 private:
  /// One direction.
  struct Way {
    asio::ip::tcp::socket& m_from;
    asio::ip::tcp::socket& m_to;
    bool m_is_backward = false;
    std::array<char, 16384> m_buffer{};
  };

  void Read(Way& way);
  void PassOn(Way& way, size_t bytes);
  void Write(Way& way, std::string bytes);
  /// One side closed; the other one is closed too.
  void End();

  FaultProxy& m_proxy;
  asio::ip::tcp::socket m_caller;
  asio::ip::tcp::socket m_target;
  Way m_forward{m_caller, m_target};
  Way m_backward{m_target, m_caller, true};
  bool m_is_ended = false;
};

}  // namespace sorrelplank::soak

#endif  // SORRELPLANK_SOAK_PROXY_LINK_H_
