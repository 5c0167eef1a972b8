/// \file
/// The HTTP server of psp-standin. All calls run on the thread of the
/// io_context, so that the services need no locks.

#ifndef PSP_PROGRAMS_STANDIN_HTTPSERVER_H
#define PSP_PROGRAMS_STANDIN_HTTPSERVER_H

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace psp::standin {

struct ServerHeader {
  std::string m_Name;
  std::string m_Value;
};

struct ServerRequest {
  std::string m_Method;
  std::string m_Target;
  std::vector<ServerHeader> m_Headers;
  std::string m_Body;

  /// The value of a header, or an empty text. Names match in any case.
  std::string header(std::string_view Name) const;
};

/// One request and the response to it.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const ServerRequest &request() const = 0;

  /// Answers at once with a whole body.
  virtual void answer(unsigned Status, std::string_view ContentType,
                      std::string Body) = 0;

  /// Starts a chunked answer; write() adds to it and endStream() ends it.
  virtual void startStream(std::string_view ContentType) = 0;
  virtual void write(std::string Part) = 0;
  virtual void endStream() = 0;

  /// Closes the connection after this many bytes of body.
  virtual void dropAfter(std::uint64_t Bytes) = 0;

  /// The other side has gone.
  virtual bool closed() const = 0;
};

using ExchangeHandler =
    std::function<void(const std::shared_ptr<HttpExchange> &)>;

/// Listens and hands each request to the handler.
class HttpServer {
public:
  /// Throws UserError when \p Ip and \p Port can't be listened on.
  HttpServer(boost::asio::io_context &Context, const std::string &Ip,
             std::uint16_t Port, ExchangeHandler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

private:
  class Listener;
  std::shared_ptr<Listener> m_Listener;
};

} // namespace psp::standin

#endif
