/// @file quota_exchange.h Quota requests and grants between entry VMs.

#ifndef SORRELPLANK_PROXY_QUOTA_EXCHANGE_H_
#define SORRELPLANK_PROXY_QUOTA_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "proxy/datagram_socket.h"
#include "steer/fleet_member_type.h"
#include "steer/quota_message_type.h"

namespace sorrelplank {

using QuotaMessage = std::variant<QuotaRequest, QuotaGrant>;

/// Serialises a message into a datagram.
std::string EncodeQuotaMessage(const QuotaMessage& message);

/// Parses a datagram; returns std::nullopt if it is malformed.
std::optional<QuotaMessage> DecodeQuotaMessage(const char* bytes,
                                               size_t length);

/// Requests tokens from the keepers of quotas by UDP, and answers requests as a
/// keeper. A lost request is repeated at another keeper; the tokens of a lost
/// grant go unused.
class QuotaExchange {
 public:
  using RequestHandler = std::function<QuotaGrant(const QuotaRequest&)>;
  using GrantHandler = std::function<void(const QuotaGrant&)>;

  /// Binds the socket and starts receiving; throws std::system_error on
  /// failure.
  QuotaExchange(asio::io_context& io,
                VmAddress own,
                RequestHandler request_handler,
                GrantHandler grant_handler);

  /// Sets the entry VMs by name. All VMs use the same port for quotas, that of
  /// this VM.
  void SetFleet(const std::vector<FleetMember>& fleet);
  /// Sends the request to its keeper; drops it if the keeper is unknown.
  void SendRequest(const AddressedQuotaRequest& request);

  const DatagramSocket& Socket() const { return m_socket; }

 private:
  bool HandleDatagram(const char* bytes, size_t length, VmAddress sender);

  VmAddress m_own;
  RequestHandler m_request_handler;
  GrantHandler m_grant_handler;
  std::map<std::string, VmAddress> m_addresses;
  DatagramSocket m_socket;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_QUOTA_EXCHANGE_H_
