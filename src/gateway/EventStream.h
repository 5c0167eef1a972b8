/// \file
/// Follows the events of a stream while its bytes pass through.

#ifndef PSP_GATEWAY_EVENTSTREAM_H
#define PSP_GATEWAY_EVENTSTREAM_H

#include <cstdint>
#include <string>
#include <string_view>

namespace psp::gateway {

/// Counts whole events and collects their data, each followed by a line feed.
class EventStream {
public:
  /// \p CollectText: whether text() is wanted.
  explicit EventStream(bool CollectText) : m_CollectText(CollectText) {}

  void feed(std::string_view Bytes);

  std::uint64_t eventCount() const { return m_Events; }
  /// Whether the bytes so far end between two events.
  bool isBetweenEvents() const { return m_Line.empty() && !m_InEvent; }
  /// Whether an event is longer than any that a sound endpoint sends; nothing
  /// more is collected then.
  bool isOverlong() const { return m_Overlong; }
  const std::string &text() const { return m_Text; }

private:
  void takeLine(std::string_view Line);

  bool m_CollectText;
  std::string m_Line;
  std::string m_Data;
  bool m_InEvent = false;
  bool m_HasData = false;
  bool m_Overlong = false;
  std::uint64_t m_Events = 0;
  std::string m_Text;
};

} // namespace psp::gateway

#endif
