#include "bench/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <optional>

namespace psp::bench {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::size_t ReadBytes = 16U << 10U;

/// The endpoint in "ip:port", if it is one.
std::optional<tcp::endpoint> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Ip = asio::ip::make_address(Text.substr(0, Colon), Error);
  const int Port = std::atoi(Text.c_str() + Colon + 1);
  if (Error || Port <= 0 || Port > 65535)
    return std::nullopt;
  return tcp::endpoint(Ip, static_cast<unsigned short>(Port));
}

class OneRequest : public PendingRequest,
                   public std::enable_shared_from_this<OneRequest> {
public:
  OneRequest(asio::io_context &Context, ClientRequest Request,
             ResponseHandler Handle, std::function<void()> FirstByte)
      : m_Stream(Context), m_Request(std::move(Request)),
        m_Handle(std::move(Handle)), m_FirstByte(std::move(FirstByte)) {
    m_Parser.body_limit(boost::none);
  }

  void start() {
    const auto Address = parseAddress(m_Request.m_Address);
    if (!Address) {
      asio::post(m_Stream.get_executor(),
                 [Self = shared_from_this()] { Self->finish(false); });
      return;
    }
    m_Stream.expires_after(m_Request.m_Timeout);
    m_Stream.async_connect(
        *Address, [Self = shared_from_this()](beast::error_code Error) {
          if (Error)
            Self->finish(false);
          else
            Self->write();
        });
  }

  void abandon() override {
    m_Handle = nullptr;
    m_FirstByte = nullptr;
    m_Stream.close();
  }

private:
  void write() {
    m_Message.method(http::string_to_verb(m_Request.m_Method));
    m_Message.target(m_Request.m_Target);
    m_Message.version(11);
    m_Message.set(http::field::host, m_Request.m_Address);
    m_Message.set(http::field::connection, "close");
    for (const HttpHeader &Each : m_Request.m_Headers)
      m_Message.set(Each.m_Name, Each.m_Value);
    m_Message.body() = std::move(m_Request.m_Body);
    m_Message.prepare_payload();
    http::async_write(
        m_Stream, m_Message,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (Error)
            Self->finish(false);
          else
            Self->read();
        });
  }

  void read() {
    m_Parser.get().body().data = m_Part.data();
    m_Parser.get().body().size = m_Part.size();
    http::async_read_some(
        m_Stream, m_Buffer, m_Parser,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          Self->takePart(Error);
        });
  }

  void takePart(beast::error_code Error) {
    if (m_Parser.is_header_done()) {
      const std::size_t Received = m_Part.size() - m_Parser.get().body().size;
      m_Response.m_Body.append(m_Part.data(), Received);
      if (Received > 0 && m_FirstByte)
        std::exchange(m_FirstByte, nullptr)();
    }
    if (Error && Error != http::error::need_buffer)
      finish(false);
    else if (m_Parser.is_done())
      finish(true);
    else
      read();
  }

  void finish(bool Complete) {
    m_Response.m_Complete = Complete;
    if (m_Parser.is_header_done()) {
      m_Response.m_Status = static_cast<int>(m_Parser.get().result_int());
      m_Response.m_RetryAfter =
          std::string(m_Parser.get()[http::field::retry_after]);
    }
    m_Stream.close();
    if (m_Handle)
      std::exchange(m_Handle, nullptr)(m_Response);
  }

  beast::tcp_stream m_Stream;
  ClientRequest m_Request;
  ResponseHandler m_Handle;
  std::function<void()> m_FirstByte;
  http::request<http::string_body> m_Message;
  beast::flat_buffer m_Buffer;
  http::response_parser<http::buffer_body> m_Parser;
  std::array<char, ReadBytes> m_Part{};
  ClientResponse m_Response;
};

} // namespace

std::shared_ptr<PendingRequest> sendRequest(asio::io_context &Context,
                                            ClientRequest Request,
                                            ResponseHandler Handle,
                                            std::function<void()> FirstByte) {
  const auto Pending = std::make_shared<OneRequest>(
      Context, std::move(Request), std::move(Handle), std::move(FirstByte));
  Pending->start();
  return Pending;
}

} // namespace psp::bench
