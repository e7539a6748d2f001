/// @file quota_exchange.cc Encoding and sending of quota datagrams.

#include "proxy/quota_exchange.h"

#include <cmath>
#include <utility>

#include "config/field_check.h"
#include "proto/quota.pb.h"

namespace sorrelplank {

namespace {

/// Plausibility limit: entry VMs never request or grant more at once.
constexpr uint32_t kMaxTokensPerRequest = 100'000;

void Fill(const QuotaRequest& request, proto::QuotaMessage& message) {
  proto::QuotaQuestion& question = *message.mutable_question();
  question.set_subject(request.m_subject.Get());
  question.set_number(request.m_number);
  question.set_tokens(request.m_tokens);
  if (request.m_limit) {
    proto::ServerLimit& limit = *question.mutable_limit();
    limit.set_per_second(request.m_limit->m_per_second);
    limit.set_age_ms(
        static_cast<uint32_t>(request.m_limit->m_age / milliseconds(1)));
  }
}

void Fill(const QuotaGrant& grant, proto::QuotaMessage& message) {
  proto::QuotaAnswer& answer = *message.mutable_answer();
  answer.set_subject(grant.m_subject.Get());
  answer.set_number(grant.m_number);
  answer.set_tokens(grant.m_tokens);
  answer.set_is_keeper(grant.m_is_keeper);
  answer.set_wait_ms(static_cast<uint32_t>(grant.m_wait / milliseconds(1)));
}

}  // namespace

std::string EncodeQuotaMessage(const QuotaMessage& message) {
  proto::QuotaMessage encoded;
  std::visit([&encoded](const auto& content) { Fill(content, encoded); },
             message);
  return encoded.SerializeAsString();
}

std::optional<QuotaMessage> DecodeQuotaMessage(const char* bytes,
                                               size_t length) {
  proto::QuotaMessage message;
  if (!message.ParseFromArray(bytes, static_cast<int>(length))) {
    return std::nullopt;
  }
  if (message.has_question()) {
    const proto::QuotaQuestion& question = message.question();
    const double per_second = question.limit().per_second();
    if (question.tokens() > kMaxTokensPerRequest ||
        !std::isfinite(per_second) || per_second < 0) {
      return std::nullopt;
    }
    QuotaRequest request{.m_subject = QuotaSubject(question.subject()),
                         .m_number = question.number(),
                         .m_tokens = question.tokens(),
                         .m_limit = std::nullopt};
    if (question.has_limit()) {
      request.m_limit =
          NamedLimit{per_second, milliseconds(question.limit().age_ms())};
    }
    return request;
  }
  const proto::QuotaAnswer& answer = message.answer();
  if (!message.has_answer() || answer.tokens() > kMaxTokensPerRequest) {
    return std::nullopt;
  }
  return QuotaGrant{.m_subject = QuotaSubject(answer.subject()),
                    .m_number = answer.number(),
                    .m_tokens = answer.tokens(),
                    .m_is_keeper = answer.is_keeper(),
                    .m_wait = milliseconds(answer.wait_ms())};
}

QuotaExchange::QuotaExchange(asio::io_context& io,
                             VmAddress own,
                             RequestHandler request_handler,
                             GrantHandler grant_handler)
    : m_own(own),
      m_request_handler(std::move(request_handler)),
      m_grant_handler(std::move(grant_handler)),
      m_socket(io,
               own,
               [this](const char* bytes, size_t length, VmAddress sender) {
                 return HandleDatagram(bytes, length, sender);
               }) {}

void QuotaExchange::SetFleet(const std::vector<FleetMember>& fleet) {
  m_addresses.clear();
  for (const FleetMember& member : fleet) {
    VmAddress address;
    if (ParseAddress(member.m_client_address, address.m_ip, address.m_port)) {
      address.m_port = m_own.m_port;
      m_addresses[member.m_vm] = address;
    }
  }
}

void QuotaExchange::SendRequest(const AddressedQuotaRequest& request) {
  const auto address = m_addresses.find(request.m_keeper);
  if (address != m_addresses.end()) {
    m_socket.Send(EncodeQuotaMessage(request.m_quota_request), address->second);
  }
}

bool QuotaExchange::HandleDatagram(const char* bytes,
                                   size_t length,
                                   VmAddress sender) {
  const auto message = DecodeQuotaMessage(bytes, length);
  if (!message) {
    return false;
  }
  if (const auto* request = std::get_if<QuotaRequest>(&*message)) {
    m_socket.Send(EncodeQuotaMessage(m_request_handler(*request)), sender);
  } else {
    m_grant_handler(std::get<QuotaGrant>(*message));
  }
  return true;
}

}  // namespace sorrelplank
