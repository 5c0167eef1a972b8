#include "gateway/Gateway.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "metrics/Names.h"
#include "web/Spawn.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;
using messages::fleet::NODE_CONTROL;

namespace {

/// Calls wait at most this long for a step of a decoding.
constexpr base::Duration DecodingStepTime = base::milliseconds(1);
constexpr std::size_t EntriesBetweenClockReads = 8;

std::string_view outcomeName(ConfigurationReceiver::Outcome Result) {
  switch (Result) {
  case ConfigurationReceiver::Outcome::Taken:
    return "taken";
  case ConfigurationReceiver::Outcome::NotNewer:
    return "not newer";
  case ConfigurationReceiver::Outcome::Busy:
    return "busy";
  case ConfigurationReceiver::Outcome::WrongText:
    return "wrong text";
  case ConfigurationReceiver::Outcome::NotAwaited:
    return "not awaited";
  }
  return "unknown";
}

} // namespace

/// Tells a control node that this instance fetches documents.
void Gateway::onControlConnected(const NodeState &Peer) {
  if (Peer.kind() != NODE_CONTROL)
    return;
  m_DocumentReceiver.onConnected(Peer.name(), Peer.data_centre());
  LinkMessage Message;
  auto &Held = *Message.mutable_configuration();
  Held.set_version(m_DocumentReceiver.inForce().m_Version);
  Held.set_digest(m_DocumentReceiver.inForce().m_Digest);
  m_Node.links().send(Peer.name(), Message);
}

void Gateway::onDocumentUpdate(
    const NodeState &From, const messages::fleet::ConfigurationUpdate &Update) {
  if (!Update.digest().empty())
    m_DocumentReceiver.onAnnounced(From.name(), From.data_centre(),
                                   Update.version(), Update.digest(),
                                   base::readMonotonic());
  if (!Update.document().empty())
    m_DocumentReceiver.onDocument(Update.version(), Update.document());
  pursueDocument();
}

bool Gateway::onDocumentReply(const messages::fleet::Reply &Received) {
  const std::uint64_t Held = m_DocumentReceiver.inForce().m_Version;
  const ConfigurationReceiver::Outcome Result =
      m_DocumentReceiver.onReply(Received, base::readMonotonic());
  if (Result == ConfigurationReceiver::Outcome::NotAwaited)
    return false;
  m_Node.log().write("configuration_received",
                     {{"version", Received.version()},
                      {"held", Held},
                      {"difference", Received.is_difference() ? "yes" : "no"},
                      {"bytes", Received.text().size()},
                      {"outcome", outcomeName(Result)}});
  pursueDocument();
  return true;
}

void Gateway::pursueDocument() {
  if (m_DocumentReceiver.next().m_Version > 0 && !m_Decoding) {
    m_Decoding = true;
    web::spawn(io().get_executor(), "decode_configuration", web::Lasting(*this),
               [](Gateway &Self) { return Self.decodeDocuments(); });
  }
  const base::TimePoint Now = base::readMonotonic();
  const std::uint64_t Number = m_PendingRequests.nextId();
  const auto Next = m_DocumentReceiver.nextFetch(
      Number, Now, [this](const std::string &Node) {
        return m_Node.links().lastReceivedAt(Node);
      });
  if (Next) {
    LinkMessage Message;
    Message.mutable_request()->set_id(Number);
    *Message.mutable_request()->mutable_fetch_configuration() = Next->m_Request;
    m_Node.links().send(Next->m_Node, Message);
  }
  const auto WakeAt = m_DocumentReceiver.wakeAt();
  if (!WakeAt) {
    m_DocumentTimer.cancel();
    return;
  }
  m_DocumentTimer.expires_at(*WakeAt);
  m_DocumentTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      pursueDocument();
  });
}

/// Decodes until there is no newer text. One that arrives meanwhile replaces
/// the one that is being decoded.
asio::awaitable<void> Gateway::decodeDocuments() {
  struct Running {
    bool &m_Flag;
    ~Running() { m_Flag = false; }
  } const Guard{m_Decoding};
  while (m_DocumentReceiver.next().m_Version > 0) {
    const ConfigurationText Text = m_DocumentReceiver.next();
    try {
      const bool Finished = co_await decode(Text);
      if (Finished)
        putInForce(Text);
    } catch (const base::UserError &Fault) {
      // Control has validated this configuration, so control and this instance
      // disagree about it; the current configuration stays active.
      m_DocumentReceiver.reject(Text);
      m_Node.log().write(
          "configuration_unreadable",
          {{"version", Text.m_Version}, {"reason", Fault.what()}});
    }
  }
}

/// Returns false if a newer text has arrived.
asio::awaitable<bool> Gateway::decode(ConfigurationText Text) {
  const fleet::ServingConfiguration *InForce =
      m_RouteTable ? &m_RouteTable->configuration() : nullptr;
  m_Decoder->start(Text.m_Text, {m_RouteTable, InForce});
  while (true) {
    const base::TimePoint Start = base::readMonotonic();
    while (base::readMonotonic() - Start < DecodingStepTime)
      if (m_Decoder->step(EntriesBetweenClockReads))
        co_return true;
    co_await asio::post(io(), asio::use_awaitable);
    if (m_DocumentReceiver.next().m_Version != Text.m_Version)
      co_return false;
  }
}

void Gateway::putInForce(const ConfigurationText &Text) {
  const std::uint64_t Before = m_DocumentReceiver.inForce().m_Version;
  m_RouteTable = std::make_shared<const fleet::RouteTable>(m_Decoder->take());
  m_DocumentReceiver.setInForce(Text);
  const base::Duration IdleTimeout =
      m_RouteTable->configuration().m_Limits.m_IdleTimeout;
  if (Before == 0)
    m_IdleLimit = IdleLimit(IdleTimeout);
  else
    m_IdleLimit.change(IdleTimeout, base::readMonotonic());
  m_ResumableServices.clear();
  for (const fleet::Route &Route : m_RouteTable->configuration().m_Routes)
    for (const fleet::RouteTarget &Target : Route.m_Targets)
      if (Route.canBeTakenUp()) {
        base::Duration &Longest = m_ResumableServices[Target.m_Service];
        Longest = std::max(Longest, Route.m_Timeout);
      }
  m_Node.metrics()
      .gauge(metrics::names::ConfigurationVersion)
      .set(static_cast<std::int64_t>(Text.m_Version));
  m_Node.log().write("configuration_in_force",
                     {{"version", Text.m_Version}, {"before", Before}});
  for (link::Waiter *Waiter : m_RouteTableWaiters)
    Waiter->fire();
}

} // namespace psp::gateway
