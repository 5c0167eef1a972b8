#include "net/CallerPort.h"

namespace psp::net {

namespace {
constexpr std::size_t RequestRingCapacity = 4096;
constexpr std::size_t ReplyRingCapacity = 65536;
} // namespace

CallerPort::CallerPort(CallerServerOptions Options, base::Waker &Decisions)
    : m_Thread("callers"), m_Waker(m_Thread, [this] { deliver(); }),
      m_Incoming(RequestRingCapacity, [&Decisions] { Decisions.wake(); }),
      m_Outgoing(ReplyRingCapacity, [this] { m_Waker.wake(); }),
      m_Sender(m_Outgoing), m_Server(std::move(Options), m_Thread,
                                     [this](messages::CallerEvent Event) {
                                       return m_Incoming.push(std::move(Event));
                                     }) {}

void CallerPort::start() {
  m_Server.start();
  m_Thread.start();
}

void CallerPort::stop() { m_Thread.stop(); }

void CallerPort::drainConnections() {
  m_Thread.post([this] { m_Server.drain(); });
}

void CallerPort::deliver() {
  m_Outgoing.drain([this](messages::CallerReply Reply) {
    m_Server.reply(std::move(Reply));
  });
}

} // namespace psp::net
