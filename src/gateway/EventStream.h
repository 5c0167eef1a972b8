/// \file
/// Parses the events of a stream while its bytes are forwarded.

#ifndef PSP_GATEWAY_EVENTSTREAM_H
#define PSP_GATEWAY_EVENTSTREAM_H

#include <cstdint>
#include <string>
#include <string_view>

namespace psp::gateway {

/// Counts complete events and collects their data, each followed by a line
/// feed.
class EventStream {
public:
  /// \p CollectText: whether to collect the data for text().
  explicit EventStream(bool CollectText) : m_CollectText(CollectText) {}

  void feed(std::string_view Bytes);

  std::uint64_t eventCount() const { return m_Events; }
  /// Whether the bytes so far end at the boundary of an event.
  bool isBetweenEvents() const { return m_PartialLine.empty() && !m_InEvent; }
  /// Whether an event exceeds the maximum length. Nothing is parsed or
  /// collected after that.
  bool isOverlong() const { return m_Overlong; }
  const std::string &text() const { return m_Text; }
  /// Bytes of the event that is being received, and of the text.
  std::size_t bufferedBytes() const {
    return m_PartialLine.size() + m_Data.size() + m_Text.size();
  }

private:
  void processLine(std::string_view Line);

  bool m_CollectText;
  std::string m_PartialLine;
  std::string m_Data;
  bool m_InEvent = false;
  bool m_HasData = false;
  bool m_Overlong = false;
  std::uint64_t m_Events = 0;
  std::string m_Text;
};

} // namespace psp::gateway

#endif
