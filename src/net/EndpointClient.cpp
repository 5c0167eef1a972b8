#include "net/EndpointClient.h"

#include "base/ResponseStatus.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <optional>
#include <unordered_map>
#include <utility>

namespace psp::net {

using messages::CancelExchange;
using messages::EndpointCommand;
using messages::EndpointHeader;
using messages::ExchangeData;
using messages::ExchangeEnd;
using messages::ExchangeFailed;
using messages::ExchangeHead;
using messages::ExchangeNumber;
using messages::StartExchange;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto ConnectTimeout = std::chrono::seconds(1);
constexpr std::size_t ReadBufferBytes = 16U << 10U;
constexpr std::uint32_t MaxHeaderBytes = 16U << 10U;

/// Maximum interim responses before a response.
constexpr int MaxInterimResponses = 8;

/// Maximum size of a response body.
constexpr std::uint64_t MaxResponseBytes = 64U << 20U;

/// Parses an IP address with a port; none if \p Address is malformed.
std::optional<tcp::endpoint> parseAddress(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  error_code Error;
  const auto Ip = asio::ip::make_address(Address.substr(0, Colon), Error);
  const unsigned long Port =
      std::strtoul(Address.c_str() + Colon + 1, nullptr, 10);
  if (Error || Port == 0 || Port > 65535)
    return std::nullopt;
  return tcp::endpoint(Ip, static_cast<unsigned short>(Port));
}

} // namespace

struct EndpointClient::Impl
    : std::enable_shared_from_this<EndpointClient::Impl> {
  class Exchange;

  Impl(asio::io_context &Context, Receiver Receive)
      : m_Context(Context), m_Receive(std::move(Receive)) {}

  asio::io_context &m_Context;
  Receiver m_Receive;
  std::unordered_map<ExchangeNumber, std::shared_ptr<Exchange>> m_Exchanges;
};

/// One request and its response.
class EndpointClient::Impl::Exchange
    : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(std::shared_ptr<Impl> Client, StartExchange Start)
      : m_Client(std::move(Client)), m_Start(std::move(Start)),
        m_Stream(m_Client->m_Context) {}

  void start() {
    const auto RemoteEndpoint = parseAddress(m_Start.m_Address);
    if (!RemoteEndpoint)
      return fail(error_code(), "not an address: " + m_Start.m_Address);
    m_Stream.expires_after(ConnectTimeout);
    m_Stream.async_connect(*RemoteEndpoint,
                           [Self = shared_from_this()](error_code Error) {
                             Self->onConnected(Error);
                           });
  }

  /// Ends the exchange without a further event.
  void cancel() {
    m_Finished = true;
    m_Stream.close();
  }

private:
  void onConnected(error_code Error) {
    if (m_Finished)
      return;
    if (Error)
      return fail(Error, "connect");
    error_code Ignored;
    m_Stream.socket().set_option(tcp::no_delay(true), Ignored);
    m_MayHaveBeenSent = true;
    m_Request.method_string(m_Start.m_Method);
    m_Request.target(m_Start.m_Target);
    m_Request.version(11);
    m_Request.set(http::field::host, m_Start.m_Address);
    m_Request.keep_alive(false);
    for (const EndpointHeader &Header : m_Start.m_Headers)
      m_Request.set(Header.m_Name, Header.m_Value);
    m_Request.body() = std::move(m_Start.m_Body);
    m_Request.prepare_payload();
    m_Stream.expires_after(m_Start.m_IdleTimeout);
    http::async_write(
        m_Stream, m_Request,
        [Self = shared_from_this()](error_code WriteError, size_t) {
          Self->onWritten(WriteError);
        });
  }

  void onWritten(error_code Error) {
    if (m_Finished)
      return;
    if (Error)
      return fail(Error, "write");
    readHead();
  }

  void readHead() {
    m_Parser.emplace();
    m_Parser->header_limit(MaxHeaderBytes);
    m_Parser->body_limit(MaxResponseBytes);
    http::async_read_header(
        m_Stream, m_Buffer, *m_Parser,
        [Self = shared_from_this()](error_code ReadError, size_t) {
          Self->onHeadRead(ReadError);
        });
  }

  void onHeadRead(error_code Error) {
    if (m_Finished)
      return;
    if (Error)
      return fail(Error, "read the head");
    const auto &Head = m_Parser->get();
    const base::StatusUse Use = base::statusUse(Head.result_int());
    if (Use == base::StatusUse::Interim &&
        ++m_InterimResponses <= MaxInterimResponses)
      return readHead();
    if (Use != base::StatusUse::Final)
      return fail(http::error::bad_status, "read the head");
    m_Client->m_Receive(ExchangeHead{
        .m_Exchange = m_Start.m_Exchange,
        .m_Status = Head.result_int(),
        .m_ContentType = std::string(Head[http::field::content_type]),
    });
    readBody();
  }

  void readBody() {
    if (m_Parser->is_done())
      return end();
    m_Parser->get().body().data = m_Bytes.data();
    m_Parser->get().body().size = m_Bytes.size();
    m_Stream.expires_after(m_Start.m_IdleTimeout);
    http::async_read_some(
        m_Stream, m_Buffer, *m_Parser,
        [Self = shared_from_this()](error_code Error, size_t) {
          Self->onBodyRead(Error);
        });
  }

  void onBodyRead(error_code Error) {
    if (m_Finished)
      return;
    if (Error == http::error::need_buffer)
      Error = {};
    const std::size_t Length = m_Bytes.size() - m_Parser->get().body().size;
    if (Length > 0) {
      m_Client->m_Receive(ExchangeData{
          .m_Exchange = m_Start.m_Exchange,
          .m_Data = std::string(m_Bytes.data(), Length),
      });
    }
    if (Error)
      return fail(Error, "read the body");
    readBody();
  }

  void end() {
    m_Finished = true;
    m_Client->m_Receive(ExchangeEnd{.m_Exchange = m_Start.m_Exchange});
    remove();
  }

  /// Ends the exchange with a failure. Its detail may be recorded in the
  /// program's entries.
  void fail(error_code Error, const std::string &Step) {
    m_Finished = true;
    m_Client->m_Receive(ExchangeFailed{
        .m_Exchange = m_Start.m_Exchange,
        .m_MayHaveBeenSent = m_MayHaveBeenSent,
        .m_TimedOut = Error == beast::error::timeout,
        .m_Detail = Step + ": " + Error.message(),
    });
    remove();
  }

  void remove() {
    m_Stream.close();
    m_Client->m_Exchanges.erase(m_Start.m_Exchange);
  }

  std::shared_ptr<Impl> m_Client;
  StartExchange m_Start;
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
  http::request<http::string_body> m_Request;
  std::optional<http::response_parser<http::buffer_body>> m_Parser;
  int m_InterimResponses = 0;
  std::array<char, ReadBufferBytes> m_Bytes{};
  bool m_MayHaveBeenSent = false;
  bool m_Finished = false;
};

EndpointClient::EndpointClient(IoThread &Thread, Receiver Receive)
    : m_Impl(std::make_shared<Impl>(Thread.context(), std::move(Receive))) {}

EndpointClient::~EndpointClient() = default;

void EndpointClient::execute(EndpointCommand Command) {
  if (auto *Start = std::get_if<StartExchange>(&Command)) {
    const ExchangeNumber Number = Start->m_Exchange;
    auto Next = std::make_shared<Impl::Exchange>(m_Impl, std::move(*Start));
    m_Impl->m_Exchanges.emplace(Number, Next);
    Next->start();
  } else if (const auto *Cancel = std::get_if<CancelExchange>(&Command)) {
    const auto It = m_Impl->m_Exchanges.find(Cancel->m_Exchange);
    if (It == m_Impl->m_Exchanges.end())
      return;
    It->second->cancel();
    m_Impl->m_Exchanges.erase(It);
  }
}

} // namespace psp::net
