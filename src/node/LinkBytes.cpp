#include "node/LinkBytes.h"

#include "metrics/Names.h"

namespace psp::node {

using messages::fleet::LinkMessage;

namespace {

std::string_view purposeOf(const messages::fleet::Request &Sent) {
  if (Sent.has_begin())
    return "request_begin";
  if (Sent.has_end())
    return "request_end";
  if (Sent.has_place())
    return "request_place";
  if (Sent.has_find())
    return "request_find";
  if (Sent.has_submit())
    return "request_submit";
  if (Sent.has_tokens())
    return "request_tokens";
  if (Sent.has_stream() || Sent.has_find_stream())
    return "request_stream";
  if (Sent.has_find_endpoints())
    return "request_endpoints";
  if (Sent.has_fetch_configuration())
    return "request_configuration";
  return "request_other";
}

std::string_view purposeOf(const messages::fleet::Reply &Sent) {
  if (!Sent.digest().empty())
    return "reply_configuration";
  if (Sent.endpoints_size() > 0)
    return "reply_endpoints";
  return Sent.text().empty() ? "reply_other" : "reply_text";
}

std::string_view purposeOf(const messages::fleet::GroupMessage &Sent) {
  const bool IsControl = Sent.group() == messages::fleet::GROUP_CONTROL;
  if (Sent.has_snapshot())
    return IsControl ? "control_snapshot" : "history_snapshot";
  if (Sent.append().entries_size() > 0)
    return IsControl ? "control_entries" : "history_entries";
  return IsControl ? "control_other" : "history_other";
}

} // namespace

std::string_view purposeOf(const LinkMessage &Message) {
  if (Message.has_request())
    return purposeOf(Message.request());
  if (Message.has_reply())
    return purposeOf(Message.reply());
  if (Message.has_group())
    return purposeOf(Message.group());
  if (Message.has_ping())
    return "ping";
  if (Message.has_configuration())
    return Message.configuration().document().empty() ? "configuration"
                                                      : "configuration_whole";
  if (Message.has_endpoints())
    return "endpoints";
  if (Message.has_leaders())
    return "leaders";
  if (Message.has_reports())
    return "reports";
  if (Message.has_directory())
    return "directory";
  if (Message.has_hello())
    return "hello";
  if (Message.has_held() || Message.has_suspected())
    return "held";
  return Message.has_crashes() ? "crashes" : "other";
}

void LinkBytes::add(const LinkMessage &Message, const std::string &To,
                    std::size_t Bytes) {
  const std::string_view Purpose = purposeOf(Message);
  std::string Receiver = To.empty() ? "unknown" : To;
  if (!m_DataCentres.contains(Receiver) &&
      m_DataCentres.size() >= MaxDataCentres)
    Receiver = "other";
  else
    m_DataCentres.insert(Receiver);
  metrics::Counter *&Found = m_Counters[{Purpose, Receiver}];
  if (!Found)
    Found = &m_Metrics.counter(metrics::names::LinkBytesSent,
                               {{"purpose", std::string(Purpose)},
                                {"from", m_DataCentre},
                                {"to", Receiver}});
  Found->add(Bytes);
}

} // namespace psp::node
