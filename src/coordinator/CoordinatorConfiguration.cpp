#include "coordinator/Coordinator.h"

#include "base/Error.h"
#include "metrics/Names.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <limits>
#include <utility>

namespace psp::coordinator {

namespace asio = boost::asio;
using messages::fleet::NODE_ENTRY;

namespace {

/// Other work waits at most about this long for a step of a check.
constexpr base::Duration CheckStepTime = base::milliseconds(2);
constexpr std::size_t EntriesBetweenClockReads = 8;

} // namespace

asio::awaitable<void> Coordinator::checkDocument(std::string Document) {
  const auto Decoder = m_Codec.makeDecoder();
  Decoder->start(std::make_shared<const std::string>(std::move(Document)),
                 nullptr);
  bool Finished = false;
  while (!Finished) {
    const base::TimePoint Start = base::readMonotonic();
    while (!Finished && base::readMonotonic() - Start < CheckStepTime)
      Finished = Decoder->step(EntriesBetweenClockReads);
    co_await asio::post(m_Node.io(), asio::use_awaitable);
  }
  fleet::checkConfiguration(Decoder->take());
}

void Coordinator::decodeDocument() {
  const std::uint64_t Version = m_StateMachine.version();
  if (Version == m_Publisher.version())
    return;
  try {
    m_Decoder->start(
        std::make_shared<const std::string>(m_StateMachine.document()),
        {std::shared_ptr<void>(), &m_Configuration});
    const bool Finished =
        m_Decoder->step(std::numeric_limits<std::size_t>::max());
    base::checkInvariant(Finished, "a document was decoded in part");
    m_Configuration = m_Decoder->take();
    m_Node.metrics()
        .gauge(metrics::names::ConfigurationVersion)
        .set(static_cast<std::int64_t>(Version));
    m_Node.log().write("configuration_in_force", {{"version", Version}});
  } catch (const base::UserError &Fault) {
    // Another version of this program has accepted the document, which is in
    // the journal; the current configuration stays active.
    m_Node.log().write("configuration_unreadable",
                       {{"version", Version}, {"reason", Fault.what()}});
  }
}

void Coordinator::announceConfiguration(const std::string &Instance) {
  LinkMessage Message = configurationMessage(NODE_ENTRY);
  if (m_Publisher.text() && m_Publisher.takesWholeDocuments(Instance))
    Message.mutable_configuration()->set_document(*m_Publisher.text());
  m_Node.links().send(Instance, Message);
}

void Coordinator::announceConfiguration() {
  for (const fleet::NodeState &Node : m_Node.nodes().ofKind(NODE_ENTRY))
    if (m_Node.links().isConnected(Node.name()))
      announceConfiguration(Node.name());
}

void Coordinator::replyWithDocument(const fleet::ReplyAddress &To,
                                    const Request &Received) {
  LinkMessage Message;
  *Message.mutable_reply() =
      m_Publisher.replyTo(To.m_Node, Received.fetch_configuration(),
                          [this](const std::string &Node) {
                            return m_Node.links().unsentBytes(Node);
                          });
  Message.mutable_reply()->set_id(Received.id());
  m_Node.reply(To, Message);
}

void Coordinator::serveInstancesThatDontFetch() {
  const auto Found =
      m_Publisher.findInstancesThatDontFetch(base::readMonotonic());
  if (m_Publisher.version() == 0)
    return;
  for (const std::string &Instance : Found) {
    m_Node.log().write("instance_takes_whole_documents",
                       {{"instance", Instance}});
    announceConfiguration(Instance);
  }
}

} // namespace psp::coordinator
