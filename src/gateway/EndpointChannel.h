/// \file
/// One HTTP connection to an endpoint, and the pool of idle connections.

#ifndef PSP_GATEWAY_ENDPOINTCHANNEL_H
#define PSP_GATEWAY_ENDPOINTCHANNEL_H

#include "base/Time.h"
#include "gateway/CallProtocol.h"
#include "gateway/IdleConnections.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace psp::gateway {

/// How the body of a response is delimited. One without a body has a length.
enum class ResponseFraming { Length, Chunked, UntilClose };

/// For log lines.
std::string_view framingName(ResponseFraming Framing);

/// What an attempt to connect shows of an endpoint.
enum class Reachability {
  Accepts, ///< Its process runs.
  Refuses, ///< No process listens at its address.
  Silent,  ///< Nothing answers: the endpoint pauses, or can't be reached.
};

/// Whether the endpoint is reachable, for log lines.
std::string_view reachabilityName(Reachability Value);

class EndpointChannel {
public:
  EndpointChannel(boost::asio::io_context &Io, std::string Address);

  /// Connects within \p Timeout. The channel is open if the endpoint accepts.
  boost::asio::awaitable<Reachability> connect(base::Duration Timeout);
  /// Returns false if the request couldn't be written completely. \p OnSent is
  /// called with the bytes of each piece, if given. See mayHaveBegun().
  boost::asio::awaitable<bool>
  send(OutgoingRequest &Out,
       std::function<void(std::size_t Bytes)> OnSent = {});
  /// Whether the endpoint may have begun to execute the last request: it may do
  /// so with the head, before it has read the body.
  bool mayHaveBegun() const {
    return m_HeadBytes > 0 && m_SentBytes >= m_HeadBytes;
  }
  /// Bytes of the last request that this system has taken for the endpoint.
  std::size_t sentBytes() const { return m_SentBytes; }
  /// Reads the head of the next response, past any interim ones (1xx). Returns
  /// false if the connection ends or the head is invalid.
  boost::asio::awaitable<bool> readHead();
  const ResponseHead &head() const { return m_Parser->get().base(); }
  /// Whether head() is of the first response on this connection, which can't
  /// belong to an earlier request.
  bool isFirstResponse() const { return m_HeadCount == 1; }
  ResponseFraming framing() const;
  std::optional<std::uint64_t> length() const;
  /// Reads the next bytes of the body; empty at its end or on failure.
  boost::asio::awaitable<std::string_view> readSome();
  /// Whether the response has been read completely.
  bool isComplete() const {
    return m_Parser && m_Parser->is_done() && !m_MarkedIncomplete;
  }
  /// Marks a response as incomplete whose body ends too early although its
  /// framing is intact.
  void markIncomplete() { m_MarkedIncomplete = true; }

  /// Closes the connection, which ends all pending operations on it.
  void abort();
  /// Ends the pending operations. What has arrived can still be read.
  void cancel();
  /// Whether bytes have arrived that were not read.
  bool hasUnread();
  /// Calls \p Action once bytes arrive, or the endpoint closes the connection.
  void notifyWhenReadable(std::function<void()> Action);
  bool isOpen() const { return m_Socket.is_open(); }
  /// Whether another request may be sent on this connection.
  bool isReusable() const;
  /// Whether the endpoint has neither closed the connection nor sent further
  /// bytes.
  bool isIdle();

  const std::string &address() const { return m_Address; }
  bool wasUsed() const { return m_Used; }

private:
  friend class EndpointPool;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::asio::io_context &m_Io;
  std::string m_Address;
  boost::asio::ip::tcp::socket m_Socket;
  /// Limit on bytes that are read and not yet parsed: a complete head, or a
  /// chunk header with its extensions. A longer one fails the connection.
  static constexpr std::size_t MaxBufferedBytes = 64U << 10U;
  boost::beast::flat_buffer m_Buffer{MaxBufferedBytes};
  std::unique_ptr<Parser> m_Parser;
  std::vector<char> m_ReadBuffer;
  bool m_MarkedIncomplete = false;
  bool m_Used = false;
  bool m_SentWhole = false;    ///< The last request.
  std::size_t m_SentBytes = 0; ///< Of the last request.
  std::size_t m_HeadBytes = 0; ///< Length of the last request's head.
  bool m_SentHead = false;     ///< The last request was a HEAD, without a body.
  std::uint64_t m_HeadCount = 0; ///< Of responses, without interim ones.
  base::TimePoint m_IdleSince;
  base::Duration m_IdleTimeout{0};
};

struct EndpointPoolOptions {
  /// Idle timeout of connections whose endpoint announces none.
  base::Duration m_DefaultIdleTimeout = base::seconds(3);
  /// A connection is not used in this last part of the endpoint's idle timeout,
  /// since the endpoint may close it while a request is in transit.
  base::Duration m_IdleMargin = base::milliseconds(700);
  std::size_t m_MaxIdlePerEndpoint = 8;
};

class EndpointPool : public IdleConnections {
public:
  EndpointPool(boost::asio::io_context &Io, EndpointPoolOptions Options)
      : m_Io(Io), m_Options(Options) {}

  /// Returns an idle connection, or a new one that is not connected yet.
  std::unique_ptr<EndpointChannel> acquire(const std::string &Address);
  /// Returns a connection to the pool. It is closed instead if the idle timeout
  /// is too short or the endpoint's pool is full.
  void release(std::unique_ptr<EndpointChannel> Channel,
               std::optional<base::Duration> IdleTimeout);
  bool hasIdle(const std::string &Address) const override;
  /// Whether the endpoint has not closed an idle connection.
  bool hasLive(const std::string &Address) const;
  /// Closes connections that have reached their idle timeout.
  void expire();
  std::size_t idleCount() const;

private:
  boost::asio::io_context &m_Io;
  EndpointPoolOptions m_Options;
  std::map<std::string, std::vector<std::unique_ptr<EndpointChannel>>>
      m_IdleChannels;
};

} // namespace psp::gateway

#endif
