#include "net/EndpointPort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace psp::net {

namespace {
constexpr std::size_t RingCapacity = 16384;
constexpr auto FlushPause = std::chrono::milliseconds(1);
} // namespace

struct EndpointPort::Timer {
  explicit Timer(boost::asio::io_context &Context) : m_Timer(Context) {}

  boost::asio::steady_timer m_Timer;
  bool m_Armed = false;
};

EndpointPort::EndpointPort(base::Waker &Decisions)
    : m_Thread("endpoints"), m_Waker(m_Thread, [this] { deliver(); }),
      m_Incoming(RingCapacity, [&Decisions] { Decisions.wake(); }),
      m_Receiver(m_Incoming),
      m_Outgoing(RingCapacity, [this] { m_Waker.wake(); }),
      m_Sender(m_Outgoing), m_Client(m_Thread,
                                     [this](messages::EndpointEvent Event) {
                                       receive(std::move(Event));
                                     }),
      m_Timer(std::make_unique<Timer>(m_Thread.context())) {}

EndpointPort::~EndpointPort() { stop(); }

void EndpointPort::start() { m_Thread.start(); }

void EndpointPort::stop() { m_Thread.stop(); }

void EndpointPort::deliver() {
  m_Outgoing.drain([this](messages::EndpointCommand Command) {
    m_Client.execute(std::move(Command));
  });
}

/// Parts of an answer must not be lost, so events that don't fit into the ring
/// wait in m_Receiver until it has capacity.
void EndpointPort::receive(messages::EndpointEvent Event) {
  m_Receiver.send(std::move(Event));
  if (m_Receiver.waiting() > 0)
    flushLater();
}

void EndpointPort::flushLater() {
  if (m_Timer->m_Armed)
    return;
  m_Timer->m_Armed = true;
  m_Timer->m_Timer.expires_after(FlushPause);
  m_Timer->m_Timer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    m_Timer->m_Armed = false;
    m_Receiver.flush();
    if (m_Receiver.waiting() > 0)
      flushLater();
  });
}

} // namespace psp::net
