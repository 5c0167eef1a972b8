#include "net/PeerMesh.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "messages/Frame.h"
#include "net/Listen.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <glog/logging.h>

#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <utility>

namespace psp::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using messages::Envelope;
using messages::FrameCodec;

namespace {

constexpr auto ReconnectDelay = std::chrono::milliseconds(100);

/// Limit on the bytes that wait on one link; while it is exceeded, further
/// frames are dropped.
constexpr std::size_t MaxWaitingBytes = 64U << 20U;

} // namespace

/// State that handlers share. Handlers hold it weakly or through
/// shared_from_this of the link, so that a late handler never accesses a
/// dangling pointer.
struct PeerMesh::Impl : std::enable_shared_from_this<PeerMesh::Impl> {
  class OutgoingLink;
  class IncomingLink;

  /// Read by other threads for metrics.
  struct Counters {
    std::atomic<std::uint64_t> m_FramesSent{0};
    std::atomic<std::uint64_t> m_BytesSent{0};
    std::atomic<std::uint64_t> m_FramesReceived{0};
    std::atomic<std::uint64_t> m_FramesDropped{0};
    std::atomic<std::uint64_t> m_FramesRefused{0};
  };

  Impl(PeerMeshOptions Options, asio::io_context &Context, Receiver Receive)
      : m_Options(std::move(Options)), m_Context(Context),
        m_Receive(std::move(Receive)), m_Acceptor(Context) {}

  void accept();
  void deliver(Envelope Message);

  PeerMeshOptions m_Options;
  asio::io_context &m_Context;
  Receiver m_Receive;
  tcp::acceptor m_Acceptor;
  std::map<base::InstanceId, std::shared_ptr<OutgoingLink>> m_Links;
  std::set<base::InstanceId> m_KnownPeers;
  std::set<base::InstanceId> m_Blocked;
  Counters m_Counters;
};

/// The connection that carries this process's messages to one peer.
class PeerMesh::Impl::OutgoingLink
    : public std::enable_shared_from_this<OutgoingLink> {
public:
  OutgoingLink(Impl &Mesh, settings::Peer Peer)
      : m_Mesh(Mesh), m_Peer(std::move(Peer)), m_Socket(Mesh.m_Context),
        m_Timer(Mesh.m_Context) {}

  void connect() {
    m_Socket = tcp::socket(m_Mesh.m_Context);
    m_Socket.async_connect(endpointOf(m_Peer.m_Address),
                           [Self = shared_from_this()](error_code Error) {
                             if (Error)
                               return Self->reconnect();
                             Self->startHandshake();
                           });
  }

  void send(const Envelope &Message) {
    if (!m_Codec || m_WaitingBytes > MaxWaitingBytes) {
      ++m_Mesh.m_Counters.m_FramesDropped;
      return;
    }
    std::string Frame = m_Codec->encode(Message);
    ++m_Mesh.m_Counters.m_FramesSent;
    m_Mesh.m_Counters.m_BytesSent += Frame.size();
    m_WaitingBytes += Frame.size();
    m_Waiting.push_back(std::move(Frame));
    if (!m_Writing)
      write();
  }

private:
  void reconnect() {
    m_Codec.reset();
    m_Waiting.clear();
    m_WaitingBytes = 0;
    m_Writing = false;
    error_code Ignored;
    m_Socket.close(Ignored);
    m_Timer.expires_after(ReconnectDelay);
    m_Timer.async_wait([Self = shared_from_this()](error_code Error) {
      if (!Error)
        Self->connect();
    });
  }

  void startHandshake() {
    error_code Ignored;
    m_Socket.set_option(tcp::no_delay(true), Ignored);
    m_OwnNonce = base::randomBytes(messages::NonceBytes);
    m_PeerNonce.assign(messages::NonceBytes, '\0');
    asio::async_write(m_Socket, asio::buffer(m_OwnNonce),
                      [Self = shared_from_this()](error_code Error, size_t) {
                        if (Error)
                          return Self->reconnect();
                        Self->readNonce();
                      });
  }

  void readNonce() {
    asio::async_read(m_Socket, asio::buffer(m_PeerNonce),
                     [Self = shared_from_this()](error_code Error, size_t) {
                       if (Error)
                         return Self->reconnect();
                       Self->m_Codec.emplace(
                           Self->m_Mesh.m_Options.m_FleetSecret,
                           Self->m_OwnNonce, Self->m_PeerNonce);
                       Self->watchForClose();
                     });
  }

  /// The peer never sends data on this connection after the handshake, so a
  /// read that completes means that the peer closed it.
  void watchForClose() {
    m_Socket.async_read_some(asio::buffer(m_Unexpected),
                             [Self = shared_from_this(),
                              Generation = ++m_Generation](error_code, size_t) {
                               if (Generation == Self->m_Generation)
                                 Self->reconnect();
                             });
  }

  void write() {
    m_Writing = true;
    m_InFlight.swap(m_Waiting);
    std::vector<asio::const_buffer> Buffers;
    Buffers.reserve(m_InFlight.size());
    for (const std::string &Frame : m_InFlight)
      Buffers.emplace_back(asio::buffer(Frame));
    asio::async_write(m_Socket, Buffers,
                      [Self = shared_from_this()](error_code Error, size_t) {
                        Self->onWritten(Error);
                      });
  }

  void onWritten(error_code Error) {
    for (const std::string &Frame : m_InFlight)
      m_WaitingBytes -= std::min(m_WaitingBytes, Frame.size());
    m_InFlight.clear();
    m_Writing = false;
    // On an error, the read in watchForClose also fails and starts the
    // reconnection.
    if (!Error && !m_Waiting.empty())
      write();
  }

  Impl &m_Mesh;
  settings::Peer m_Peer;
  tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  std::optional<FrameCodec> m_Codec;
  std::string m_OwnNonce;
  std::string m_PeerNonce;
  std::array<char, 1> m_Unexpected{};
  std::uint64_t m_Generation = 0;
  std::vector<std::string> m_Waiting;
  std::vector<std::string> m_InFlight;
  std::size_t m_WaitingBytes = 0;
  bool m_Writing = false;
};

/// A connection on which one peer's messages arrive.
class PeerMesh::Impl::IncomingLink
    : public std::enable_shared_from_this<IncomingLink> {
public:
  IncomingLink(std::shared_ptr<Impl> Mesh, tcp::socket Socket)
      : m_Mesh(std::move(Mesh)), m_Socket(std::move(Socket)) {}

  void start() {
    error_code Ignored;
    m_Socket.set_option(tcp::no_delay(true), Ignored);
    m_OwnNonce = base::randomBytes(messages::NonceBytes);
    m_PeerNonce.assign(messages::NonceBytes, '\0');
    asio::async_read(m_Socket, asio::buffer(m_PeerNonce),
                     [Self = shared_from_this()](error_code Error, size_t) {
                       if (!Error)
                         Self->answerNonce();
                     });
  }

private:
  void answerNonce() {
    m_Codec.emplace(m_Mesh->m_Options.m_FleetSecret, m_PeerNonce, m_OwnNonce);
    asio::async_write(m_Socket, asio::buffer(m_OwnNonce),
                      [Self = shared_from_this()](error_code Error, size_t) {
                        if (!Error)
                          Self->readHead();
                      });
  }

  void readHead() {
    m_Head.assign(messages::FrameHeadBytes, '\0');
    asio::async_read(m_Socket, asio::buffer(m_Head),
                     [Self = shared_from_this()](error_code Error, size_t) {
                       if (!Error)
                         Self->closeOnError([&] { Self->readBody(); });
                     });
  }

  void readBody() {
    m_Body.assign(FrameCodec::bodyLength(m_Head), '\0');
    asio::async_read(m_Socket, asio::buffer(m_Body),
                     [Self = shared_from_this()](error_code Error, size_t) {
                       if (!Error)
                         Self->closeOnError([&] { Self->finishFrame(); });
                     });
  }

  void finishFrame() {
    m_Mesh->deliver(m_Codec->decode(m_Head, m_Body));
    readHead();
  }

  /// Runs \p Next. A frame that is rejected closes this connection and has no
  /// other effect.
  template <typename Step> void closeOnError(Step Next) {
    try {
      Next();
    } catch (const base::UserError &Fault) {
      ++m_Mesh->m_Counters.m_FramesRefused;
      LOG(WARNING) << "peers: closing a connection after an invalid frame: "
                   << Fault.what();
      error_code Ignored;
      m_Socket.close(Ignored);
    }
  }

  std::shared_ptr<Impl> m_Mesh;
  tcp::socket m_Socket;
  std::optional<FrameCodec> m_Codec;
  std::string m_OwnNonce;
  std::string m_PeerNonce;
  std::string m_Head;
  std::string m_Body;
};

void PeerMesh::Impl::accept() {
  m_Acceptor.async_accept(
      [Self = shared_from_this()](error_code Error, tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error)
          std::make_shared<IncomingLink>(Self, std::move(Socket))->start();
        Self->accept();
      });
}

void PeerMesh::Impl::deliver(Envelope Message) {
  const base::InstanceId Sender(Message.sender());
  const bool Expected = m_KnownPeers.contains(Sender) &&
                        Message.recipient() == m_Options.m_Self.str();
  if (!Expected) {
    ++m_Counters.m_FramesRefused;
    return;
  }
  if (m_Blocked.contains(Sender))
    return;
  ++m_Counters.m_FramesReceived;
  m_Receive(std::move(Message));
}

PeerMesh::PeerMesh(PeerMeshOptions Options, IoThread &Thread, Receiver Receive)
    : m_Impl(std::make_shared<Impl>(std::move(Options), Thread.context(),
                                    std::move(Receive))) {}

PeerMesh::~PeerMesh() = default;

void PeerMesh::start() {
  listenOn(m_Impl->m_Acceptor, m_Impl->m_Options.m_Listen);
  m_Impl->accept();
  for (const settings::Peer &Peer : m_Impl->m_Options.m_Peers) {
    if (Peer.m_Instance == m_Impl->m_Options.m_Self)
      continue;
    m_Impl->m_KnownPeers.insert(Peer.m_Instance);
    auto Link = std::make_shared<Impl::OutgoingLink>(*m_Impl, Peer);
    m_Impl->m_Links.emplace(Peer.m_Instance, Link);
    Link->connect();
  }
}

void PeerMesh::send(const base::InstanceId &To, Envelope Message) {
  const auto Link = m_Impl->m_Links.find(To);
  if (Link == m_Impl->m_Links.end() || m_Impl->m_Blocked.contains(To)) {
    ++m_Impl->m_Counters.m_FramesDropped;
    return;
  }
  Message.set_sender(m_Impl->m_Options.m_Self.str());
  Message.set_recipient(To.str());
  Link->second->send(Message);
}

void PeerMesh::block(std::set<base::InstanceId> Instances) {
  m_Impl->m_Blocked = std::move(Instances);
}

PeerMeshCounters PeerMesh::counters() const {
  const Impl::Counters &Counters = m_Impl->m_Counters;
  return {.m_FramesSent = Counters.m_FramesSent,
          .m_BytesSent = Counters.m_BytesSent,
          .m_FramesReceived = Counters.m_FramesReceived,
          .m_FramesDropped = Counters.m_FramesDropped,
          .m_FramesRefused = Counters.m_FramesRefused};
}

} // namespace psp::net
