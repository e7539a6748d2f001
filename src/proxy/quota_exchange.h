/// @file quota_exchange.h Carries questions and answers on quotas.

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

/// The bytes of a datagram.
std::string EncodeQuotaMessage(const QuotaMessage& message);

/// Reads a datagram; nothing where it is malformed.
std::optional<QuotaMessage> DecodeQuotaMessage(const char* bytes,
                                               size_t length);

/// Asks keepers of quotas by datagram, and answers as a keeper. What is lost is
/// asked again at another keeper; a lost answer wastes its tokens.
class QuotaExchange {
 public:
  using Answerer = std::function<QuotaGrant(const QuotaRequest&)>;
  using GrantHandler = std::function<void(const QuotaGrant&)>;

  /// Listens at once; throws std::system_error where it cannot.
  QuotaExchange(asio::io_context& io,
                VmAddress own,
                Answerer answerer,
                GrantHandler handler);

  /// Addresses of entry VMs by name; their port for quotas is the own one.
  void SetFleet(const std::vector<FleetMember>& fleet);
  void Ask(const AddressedQuotaRequest& question);

  const DatagramSocket& Socket() const { return m_socket; }

 private:
  bool Take(const char* bytes, size_t length, VmAddress sender);

  VmAddress m_own;
  Answerer m_answerer;
  GrantHandler m_handler;
  std::map<std::string, VmAddress> m_addresses;
  DatagramSocket m_socket;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_PROXY_QUOTA_EXCHANGE_H_
