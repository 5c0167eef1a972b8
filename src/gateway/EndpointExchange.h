/// \file
/// One send of a call to one endpoint, with the whole response.

#ifndef PSP_GATEWAY_ENDPOINTEXCHANGE_H
#define PSP_GATEWAY_ENDPOINTEXCHANGE_H

#include "fleet/EndpointDirectory.h"
#include "gateway/CallMemory.h"
#include "gateway/CallProtocol.h"
#include "gateway/EndpointChannel.h"
#include "gateway/ForwardedBody.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace psp::gateway {

class Gateway;

/// What has become of an exchange.
enum class ExchangeResult {
  Running,
  Received, ///< The response is there.
  NotRun,   ///< The endpoint has not executed the request and never will.
  Lost,     ///< It may have been executed; there is no usable response.
  Cancelled,
};

struct EndpointExchangeOptions {
  fleet::EndpointState m_Endpoint;
  OutgoingRequest m_Request; ///< Its body is the call's.
  std::string m_RequestId;
  std::string m_ExpectedWeights; ///< By the caller; empty: any.
  base::Duration m_ConnectTimeout{0};
  /// A longer response has no end, in bytes.
  std::size_t m_MaxResponseBytes = 0;
  /// Whether the endpoint may get the request, asked just before it is sent.
  /// Keeps the call, which may end before its exchanges.
  std::function<bool()> m_MaySend;
};

/// Sends a request and reads its response, without the caller getting any of
/// it, so that several exchanges of a call may run side by side.
class EndpointExchange : public std::enable_shared_from_this<EndpointExchange> {
public:
  /// \p OnEnded is called once, when the result is known.
  EndpointExchange(Gateway &Owner, EndpointExchangeOptions Options,
                   std::function<void()> OnEnded);

  /// Runs the exchange in the background.
  void start();
  /// Closes the connection, so that the endpoint stops working on the request.
  void cancel();

  ExchangeResult result() const { return m_Result; }
  const fleet::EndpointState &endpoint() const { return m_Options.m_Endpoint; }
  base::TimePoint startedAt() const { return m_StartedAt; }
  base::TimePoint sentAt() const { return m_SentAt; }
  base::TimePoint respondedAt() const { return m_RespondedAt; }
  /// The endpoint may have begun to execute the request, and hasn't refused it.
  bool mayHaveRun() const {
    return wasSent() && m_Result != ExchangeResult::NotRun;
  }
  /// The endpoint may have begun to execute the request, or has refused it.
  bool wasSent() const { return m_Sent || m_Sending; }
  /// Not run because the caller expects weights that the endpoint doesn't have.
  bool hasOtherWeights() const { return m_HasOtherWeights; }
  /// The connection ended before a complete response.
  bool isConnectionLost() const { return m_ConnectionLost; }

  // With a response.
  unsigned status() const { return m_Channel->head().result_int(); }
  const ResponseMetadata &metadata() const { return m_Metadata; }
  EndpointChannel &channel() { return *m_Channel; }
  std::unique_ptr<EndpointChannel> takeChannel() {
    return std::move(m_Channel);
  }
  /// False if there was no memory for the rest of the body, which is still to
  /// be read from the channel.
  bool isWhole() const { return m_Whole; }
  std::string takeBody() { return std::move(m_Body); }
  CallMemory::Hold takeHold() { return std::move(m_Held); }

private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<ExchangeResult> exchange();
  boost::asio::awaitable<ExchangeResult> receive();

  Gateway &m_Gateway;
  EndpointExchangeOptions m_Options;
  std::function<void()> m_OnEnded;
  std::unique_ptr<EndpointChannel> m_Channel;
  CallMemory::Hold m_Held;
  ResponseMetadata m_Metadata;
  std::string m_Body;
  ExchangeResult m_Result = ExchangeResult::Running;
  base::TimePoint m_StartedAt;
  base::TimePoint m_SentAt;
  base::TimePoint m_RespondedAt;
  bool m_Sending = false; ///< Part of the request may have left.
  bool m_Sent = false;    ///< The endpoint may have begun to execute it.
  bool m_Cancelled = false;
  bool m_ConnectionLost = false;
  bool m_HasOtherWeights = false;
  bool m_Whole = false;
};

} // namespace psp::gateway

#endif
