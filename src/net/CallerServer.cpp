#include "net/CallerServer.h"

#include "net/Listen.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

#include <atomic>
#include <cctype>
#include <deque>
#include <unordered_map>
#include <utility>

namespace psp::net {

using messages::AnswerHeader;
using messages::CallerAnswer;
using messages::CallerGone;
using messages::CallerReply;
using messages::CallerRequest;
using messages::problemAnswer;
using messages::RequestNumber;
using messages::StreamBegin;
using messages::StreamEnd;
using messages::StreamPart;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using base::ErrorKind;
using boost::system::error_code;

namespace {

/// How long one write to a caller may take.
constexpr auto WriteTimeout = std::chrono::seconds(30);

/// Limits on the time and the bytes spent on discarding input after a refusal.
constexpr auto DiscardTimeout = std::chrono::seconds(5);
constexpr std::size_t MaxDiscardedBytes = 64U << 20U;
constexpr std::size_t DiscardChunkBytes = 64U << 10U;

constexpr std::string_view BearerPrefix = "bearer ";

/// The digest of the bearer token in \p Header, if it contains one.
std::optional<base::Digest> digestOfKey(std::string_view Header) {
  if (Header.size() <= BearerPrefix.size())
    return std::nullopt;
  for (std::size_t I = 0; I < BearerPrefix.size(); ++I) {
    const auto Letter = static_cast<unsigned char>(Header[I]);
    if (std::tolower(Letter) != BearerPrefix[I])
      return std::nullopt;
  }
  return base::sha256(Header.substr(BearerPrefix.size()));
}

template <typename Fields>
std::string field(const Fields &Message, std::string_view Name) {
  const auto It = Message.find(beast::string_view(Name.data(), Name.size()));
  if (It == Message.end())
    return {};
  return std::string(It->value());
}

} // namespace

struct CallerServer::Impl : std::enable_shared_from_this<CallerServer::Impl> {
  class Session;

  Impl(CallerServerOptions Options, asio::io_context &Context, Receiver Receive)
      : m_Options(std::move(Options)), m_Context(Context),
        m_Receive(std::move(Receive)), m_Acceptor(Context) {}

  void accept();

  CallerServerOptions m_Options;
  asio::io_context &m_Context;
  Receiver m_Receive;
  tcp::acceptor m_Acceptor;
  RequestNumber m_NextRequest = 1;
  std::size_t m_Connections = 0;
  bool m_Draining = false;
  std::atomic<std::size_t> m_Busy{0};
  /// Keeps each session alive while its request is in progress.
  std::unordered_map<RequestNumber, std::shared_ptr<Session>> m_Sessions;
};

/// One caller's connection.
class CallerServer::Impl::Session
    : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<Impl> Server, tcp::socket Socket)
      : m_Server(std::move(Server)), m_Stream(std::move(Socket)) {
    ++m_Server->m_Connections;
  }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;
  ~Session() {
    --m_Server->m_Connections;
    setBusy(false);
  }

  void start() {
    error_code Ignored;
    m_Stream.socket().set_option(tcp::no_delay(true), Ignored);
    read();
  }

  void answer(const CallerAnswer &Answer) {
    http::response<http::string_body> Response;
    Response.result(static_cast<unsigned>(Answer.m_Status));
    Response.set(http::field::content_type, Answer.m_ContentType);
    setHeaders(Response, Answer.m_Headers);
    Response.body() = Answer.m_Body;
    Response.keep_alive(m_KeepAlive);
    Response.prepare_payload();
    queue(serialise(Response));
    finish();
  }

  void begin(const StreamBegin &Begin) {
    http::response<http::empty_body> Response;
    Response.result(http::status::ok);
    Response.set(http::field::content_type, "text/event-stream");
    Response.set(http::field::cache_control, "no-store");
    setHeaders(Response, Begin.m_Headers);
    Response.keep_alive(m_KeepAlive);
    Response.chunked(true);
    m_Streaming = true;
    std::ostringstream Head;
    Head << Response.base();
    queue(Head.str());
  }

  void part(const StreamPart &Part) {
    if (Part.m_Data.empty())
      return;
    std::ostringstream Chunk;
    Chunk << std::hex << Part.m_Data.size() << "\r\n";
    queue(Chunk.str() + Part.m_Data + "\r\n");
  }

  void end(const StreamEnd &End) {
    if (!End.m_Whole)
      m_KeepAlive = false;
    else
      queue("0\r\n\r\n");
    finish();
  }

private:
  /// Busy from the arrival of a request until its answer is written.
  void setBusy(bool Busy) {
    if (Busy == m_Busy)
      return;
    m_Busy = Busy;
    if (Busy)
      ++m_Server->m_Busy;
    else
      --m_Server->m_Busy;
  }

  template <typename Response>
  void setHeaders(Response &Out, const std::vector<AnswerHeader> &Headers) {
    Out.set(http::field::server, "pistachiospool");
    for (const AnswerHeader &Header : Headers)
      Out.set(Header.m_Name, Header.m_Value);
  }

  static std::string
  serialise(const http::response<http::string_body> &Response) {
    std::ostringstream Text;
    Text << Response;
    return Text.str();
  }

  void read() {
    if (m_Server->m_Draining)
      return close();
    m_Parser.emplace();
    m_Parser->header_limit(
        static_cast<std::uint32_t>(m_Server->m_Options.m_MaxHeaderBytes));
    m_Parser->body_limit(m_Server->m_Options.m_MaxBodyBytes);
    m_Stream.expires_after(m_Server->m_Options.m_IdleTimeout);
    http::async_read(m_Stream, m_Buffer, *m_Parser,
                     [Self = shared_from_this()](error_code Error, size_t) {
                       Self->onReceived(Error);
                     });
  }

  void onReceived(error_code Error) {
    m_Stream.expires_never();
    if (Error)
      return refuse(Error);
    setBusy(true);
    const auto &Message = m_Parser->get();
    m_KeepAlive = Message.keep_alive();
    m_Request = m_Server->m_NextRequest++;
    CallerRequest Request = {
        .m_Request = m_Request,
        .m_Method = std::string(Message.method_string()),
        .m_Target = std::string(Message.target()),
        .m_Body = std::move(m_Parser->get().body()),
        .m_ContentType = field(Message, "Content-Type"),
        .m_KeyDigest = digestOfKey(field(Message, "Authorization")),
        .m_ProgramId = field(Message, "Program-Id"),
        .m_ProgramTurn = field(Message, "Program-Turn"),
        .m_IdempotencyKey = field(Message, "Idempotency-Key"),
        .m_DeadlineMs = field(Message, "Deadline-Ms"),
    };
    m_Server->m_Sessions[m_Request] = shared_from_this();
    if (!m_Server->m_Receive(std::move(Request))) {
      return answer(problemAnswer(m_Request, ErrorKind::Overloaded,
                                  "the instance has no capacity for requests"));
    }
    watchForDisconnect();
  }

  /// Answers input that isn't a valid request, unless the caller can't receive
  /// an answer any more, and closes the connection.
  void refuse(error_code Error) {
    const bool NoAnswer = Error == http::error::end_of_stream ||
                          Error == beast::error::timeout ||
                          Error == asio::error::operation_aborted ||
                          Error == asio::error::connection_reset ||
                          Error == http::error::partial_message;
    if (NoAnswer)
      return close();
    m_KeepAlive = false;
    m_Refused = true;
    const ErrorKind Kind = Error == http::error::body_limit
                               ? ErrorKind::BodyTooLarge
                               : ErrorKind::BadRequest;
    answer(problemAnswer(m_Request, Kind,
                         "malformed HTTP request: " + Error.message()));
  }

  /// Detects a caller that disconnects while its call is in progress.
  void watchForDisconnect() {
    m_Stream.socket().async_wait(
        tcp::socket::wait_read,
        [Self = weak_from_this(), Request = m_Request](error_code Error) {
          const auto Locked = Self.lock();
          if (Locked && !Error && Locked->m_Request == Request)
            Locked->onReadable();
        });
  }

  void onReadable() {
    char Byte = 0;
    error_code Error;
    m_Stream.socket().non_blocking(true, Error);
    m_Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                              Error);
    if (!Error || Error == asio::error::would_block)
      return; // The caller is connected, or has pipelined its next request.
    disconnect();
  }

  /// Drops the request in progress, notifies the decision thread and closes the
  /// connection.
  void disconnect() {
    if (m_Request != 0) {
      m_Server->m_Sessions.erase(m_Request);
      m_Server->m_Receive(CallerGone{.m_Request = m_Request});
      m_Request = 0;
    }
    close();
  }

  void finish() {
    m_Server->m_Sessions.erase(m_Request);
    m_Request = 0;
    m_Streaming = false;
    m_Finished = true;
    if (!m_Writing)
      onAnswerWritten();
  }

  /// Continues after an answer has been completely written.
  void onAnswerWritten() {
    m_Finished = false;
    setBusy(false);
    if (m_Refused)
      return discard();
    if (!m_KeepAlive)
      return close();
    read();
  }

  /// Reads and discards input for a limited time after a refusal. Closing with
  /// unread input would reset the connection, and the caller might never
  /// receive the answer.
  void discard() {
    error_code Ignored;
    m_Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    m_Stream.expires_after(DiscardTimeout);
    discardMore();
  }

  void discardMore() {
    m_Discard.resize(DiscardChunkBytes);
    m_Stream.async_read_some(
        asio::buffer(m_Discard),
        [Self = shared_from_this()](error_code Error, std::size_t Length) {
          Self->m_Discarded += Length;
          if (Error || Self->m_Discarded > MaxDiscardedBytes)
            return Self->close();
          Self->discardMore();
        });
  }

  void queue(std::string Bytes) {
    m_Waiting.push_back(std::move(Bytes));
    if (!m_Writing)
      write();
  }

  void write() {
    m_Writing = true;
    m_InFlight.swap(m_Waiting);
    std::vector<asio::const_buffer> Buffers;
    Buffers.reserve(m_InFlight.size());
    for (const std::string &Bytes : m_InFlight)
      Buffers.emplace_back(asio::buffer(Bytes));
    m_Stream.expires_after(WriteTimeout);
    asio::async_write(m_Stream, Buffers,
                      [Self = shared_from_this()](error_code Error, size_t) {
                        Self->onWritten(Error);
                      });
  }

  void onWritten(error_code Error) {
    m_Stream.expires_never();
    m_InFlight.clear();
    m_Writing = false;
    if (Error)
      return disconnect();
    if (!m_Waiting.empty())
      return write();
    if (m_Finished)
      onAnswerWritten();
  }

  void close() {
    error_code Ignored;
    m_Stream.socket().shutdown(tcp::socket::shutdown_both, Ignored);
    m_Stream.close();
  }

  std::shared_ptr<Impl> m_Server;
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
  std::optional<http::request_parser<http::string_body>> m_Parser;
  RequestNumber m_Request = 0;
  bool m_KeepAlive = false;
  bool m_Streaming = false;
  bool m_Finished = false;
  bool m_Writing = false;
  bool m_Refused = false; ///< The input was not a valid request.
  bool m_Busy = false;
  std::string m_Discard;
  std::size_t m_Discarded = 0;
  std::vector<std::string> m_Waiting;
  std::vector<std::string> m_InFlight;
};

void CallerServer::Impl::accept() {
  m_Acceptor.async_accept(
      [Self = shared_from_this()](error_code Error, tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        const bool HasCapacity =
            Self->m_Connections < Self->m_Options.m_MaxConnections;
        if (!Error && HasCapacity)
          std::make_shared<Session>(Self, std::move(Socket))->start();
        if (Self->m_Acceptor.is_open())
          Self->accept();
      });
}

CallerServer::CallerServer(CallerServerOptions Options, IoThread &Thread,
                           Receiver Receive)
    : m_Impl(std::make_shared<Impl>(std::move(Options), Thread.context(),
                                    std::move(Receive))) {}

CallerServer::~CallerServer() = default;

void CallerServer::start() {
  listenOn(m_Impl->m_Acceptor, m_Impl->m_Options.m_Listen);
  m_Impl->accept();
}

void CallerServer::drain() {
  m_Impl->m_Draining = true;
  error_code Ignored;
  m_Impl->m_Acceptor.close(Ignored);
}

void CallerServer::reply(CallerReply Reply) {
  const auto Deliver = [this](const auto &Part, auto Member) {
    const auto It = m_Impl->m_Sessions.find(Part.m_Request);
    if (It == m_Impl->m_Sessions.end())
      return;
    // Keeps the session alive after its entry is erased.
    const auto Target = It->second;
    (*Target.*Member)(Part);
  };
  if (const auto *Answer = std::get_if<CallerAnswer>(&Reply))
    Deliver(*Answer, &Impl::Session::answer);
  else if (const auto *Begin = std::get_if<StreamBegin>(&Reply))
    Deliver(*Begin, &Impl::Session::begin);
  else if (const auto *Part = std::get_if<StreamPart>(&Reply))
    Deliver(*Part, &Impl::Session::part);
  else if (const auto *End = std::get_if<StreamEnd>(&Reply))
    Deliver(*End, &Impl::Session::end);
}

std::size_t CallerServer::busy() const { return m_Impl->m_Busy; }

} // namespace psp::net
