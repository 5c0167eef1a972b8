#include "programs/standin/HttpServer.h"

#include "base/Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <optional>

namespace psp::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::uint64_t MaxBodyBytes = 64U << 20U;

/// One connection. It serves one request after the other.
class Session : public HttpExchange,
                public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, ExchangeHandler Handle)
      : m_Stream(std::move(Socket)), m_Handle(std::move(Handle)) {}

  void readRequest() {
    m_Parser.emplace();
    m_Parser->body_limit(MaxBodyBytes);
    http::async_read(
        m_Stream, m_Buffer, *m_Parser,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (Error)
            Self->close();
          else
            Self->handleRequest();
        });
  }

  const ServerRequest &request() const override { return m_Request; }

  void answer(unsigned Status, std::string_view ContentType,
              std::string Body) override {
    http::response<http::empty_body> Head(http::int_to_status(Status), 11);
    Head.set(http::field::content_type,
             beast::string_view(ContentType.data(), ContentType.size()));
    Head.content_length(Body.size());
    Head.keep_alive(m_KeepAlive);
    queueHead(Head);
    queueBody(std::move(Body));
    m_Ended = true;
    pump();
  }

  void startStream(std::string_view ContentType) override {
    http::response<http::empty_body> Head(http::status::ok, 11);
    Head.set(http::field::content_type,
             beast::string_view(ContentType.data(), ContentType.size()));
    Head.chunked(true);
    Head.keep_alive(m_KeepAlive);
    queueHead(Head);
    pump();
  }

  void write(std::string Part) override {
    if (m_Closed || Part.empty())
      return;
    std::ostringstream Chunk;
    Chunk << std::hex << Part.size() << "\r\n";
    queueBody(Chunk.str() + Part + "\r\n");
    pump();
  }

  void endStream() override {
    if (m_Closed)
      return;
    queueBody("0\r\n\r\n");
    m_Ended = true;
    pump();
  }

  void dropAfter(std::uint64_t Bytes) override { m_RemainingBytes = Bytes; }

  bool closed() const override { return m_Closed; }

private:
  void handleRequest() {
    const auto &Message = m_Parser->get();
    m_Request = {.m_Method = std::string(Message.method_string()),
                 .m_Target = std::string(Message.target()),
                 .m_Headers = {},
                 .m_Body = Message.body()};
    for (const auto &Field : Message)
      m_Request.m_Headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    m_KeepAlive = Message.keep_alive();
    m_Ended = false;
    m_RemainingBytes.reset();
    m_Handle(shared_from_this());
  }

  void queueHead(const http::response<http::empty_body> &Head) {
    std::ostringstream Text;
    Text << Head.base();
    m_Output.push_back(Text.str());
  }

  void queueBody(std::string Part) {
    if (m_RemainingBytes) {
      if (Part.size() >= *m_RemainingBytes) {
        Part.resize(*m_RemainingBytes);
        m_DropWhenWritten = true;
      }
      *m_RemainingBytes -= Part.size();
    }
    m_Output.push_back(std::move(Part));
  }

  void pump() {
    if (m_Writing || m_Closed)
      return;
    if (m_Output.empty()) {
      if (m_DropWhenWritten)
        close();
      else if (m_Ended)
        finishRequest();
      return;
    }
    m_Writing = true;
    m_Sending = std::move(m_Output.front());
    m_Output.pop_front();
    asio::async_write(
        m_Stream, asio::buffer(m_Sending),
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          Self->m_Writing = false;
          if (Error)
            Self->close();
          else
            Self->pump();
        });
  }

  void finishRequest() {
    m_Ended = false;
    if (m_KeepAlive)
      readRequest();
    else
      close();
  }

  void close() {
    m_Closed = true;
    m_Output.clear();
    m_Stream.close();
  }

  beast::tcp_stream m_Stream;
  ExchangeHandler m_Handle;
  beast::flat_buffer m_Buffer;
  std::optional<http::request_parser<http::string_body>> m_Parser;
  ServerRequest m_Request;
  std::deque<std::string> m_Output;
  std::string m_Sending;
  std::optional<std::uint64_t> m_RemainingBytes;
  bool m_KeepAlive = false;
  bool m_Writing = false;
  bool m_Ended = false;
  bool m_DropWhenWritten = false;
  bool m_Closed = false;
};

} // namespace

std::string ServerRequest::header(std::string_view Name) const {
  for (const ServerHeader &Each : m_Headers) {
    if (beast::iequals(Each.m_Name,
                       beast::string_view(Name.data(), Name.size())))
      return Each.m_Value;
  }
  return {};
}

class HttpServer::Listener : public std::enable_shared_from_this<Listener> {
public:
  Listener(asio::io_context &Context, const tcp::endpoint &Address,
           ExchangeHandler Handle)
      : m_Acceptor(Context, Address), m_Handle(std::move(Handle)) {}

  void accept() {
    m_Acceptor.async_accept([Self = shared_from_this()](beast::error_code Error,
                                                        tcp::socket Socket) {
      if (Error == asio::error::operation_aborted)
        return;
      if (!Error) {
        Socket.set_option(tcp::no_delay(true));
        std::make_shared<Session>(std::move(Socket), Self->m_Handle)
            ->readRequest();
      }
      Self->accept();
    });
  }

  void stop() { m_Acceptor.close(); }

private:
  tcp::acceptor m_Acceptor;
  ExchangeHandler m_Handle;
};

HttpServer::HttpServer(asio::io_context &Context, const std::string &Ip,
                       std::uint16_t Port, ExchangeHandler Handle) {
  try {
    const tcp::endpoint Address(asio::ip::make_address(Ip), Port);
    m_Listener =
        std::make_shared<Listener>(Context, Address, std::move(Handle));
  } catch (const boost::system::system_error &Error) {
    throw base::UserError(base::ErrorKind::BadRequest,
                          "expected a free address to listen on, found " + Ip +
                              ":" + std::to_string(Port) + ": " + Error.what());
  }
  m_Listener->accept();
}

HttpServer::~HttpServer() { m_Listener->stop(); }

} // namespace psp::standin
