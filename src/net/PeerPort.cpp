#include "net/PeerPort.h"

namespace psp::net {

namespace {
constexpr std::size_t RingCapacity = 16384;
} // namespace

PeerPort::PeerPort(PeerMeshOptions Options, base::Waker &Decisions)
    : m_Thread("peers"), m_Waker(m_Thread, [this] { deliver(); }),
      m_Incoming(RingCapacity, [&Decisions] { Decisions.wake(); }),
      m_Outgoing(RingCapacity, [this] { m_Waker.wake(); }),
      m_Sender(m_Outgoing),
      m_Mesh(std::move(Options), m_Thread, [this](messages::Envelope Message) {
        // A full ring drops the message, as a disconnected link does.
        m_Incoming.push(std::move(Message));
      }) {}

void PeerPort::start() {
  m_Mesh.start();
  m_Thread.start();
}

void PeerPort::stop() { m_Thread.stop(); }

void PeerPort::deliver() {
  m_Outgoing.drain([this](messages::Outgoing Next) {
    m_Mesh.send(Next.m_To, std::move(Next.m_Message));
  });
}

void PeerPort::block(std::set<base::InstanceId> Instances) {
  m_Thread.post(
      [this, Blocked = std::move(Instances)] { m_Mesh.block(Blocked); });
}

} // namespace psp::net
