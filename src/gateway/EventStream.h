/// \file
/// Parses the events of a stream while its bytes are forwarded.

#ifndef PSP_GATEWAY_EVENTSTREAM_H
#define PSP_GATEWAY_EVENTSTREAM_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace psp::gateway {

/// A complete event in the text of a stream.
struct CollectedEvent {
  std::string m_Id;          ///< Empty: it has none.
  std::uint64_t m_Bytes = 0; ///< Of its data in the text.

  bool operator==(const CollectedEvent &) const = default;
};

/// Events of a stream, and their text.
struct CollectedEvents {
  std::vector<CollectedEvent> m_Events;
  std::string m_Text;

  bool operator==(const CollectedEvents &) const = default;
};

/// Counts complete events and collects their data, each followed by a line
/// feed.
class EventStream {
public:
  /// \p CollectText: whether to collect the data for text().
  explicit EventStream(bool CollectText) : m_CollectText(CollectText) {}
  /// Collects the data and the identifiers, behind those of the events
  /// \p Earlier.
  explicit EventStream(CollectedEvents Earlier)
      : m_CollectText(true), m_CollectIds(true),
        m_Collected(std::move(Earlier)) {}

  void feed(std::string_view Bytes);

  std::uint64_t eventCount() const { return m_Events; }
  /// Whether the bytes so far end at the boundary of an event.
  bool isBetweenEvents() const { return m_PartialLine.empty() && !m_InEvent; }
  /// Whether an event exceeds the maximum length. Nothing is parsed or
  /// collected after that.
  bool isOverlong() const { return m_Overlong; }
  const CollectedEvents &collected() const { return m_Collected; }
  const std::string &text() const { return m_Collected.m_Text; }
  /// Bytes of the event that is being received, and of all that is collected.
  std::size_t bufferedBytes() const {
    return m_PartialLine.size() + m_Data.size() + m_Collected.m_Text.size() +
           m_Collected.m_Events.size() * sizeof(CollectedEvent);
  }

private:
  void processLine(std::string_view Line);

  bool m_CollectText;
  bool m_CollectIds = false;
  std::string m_PartialLine;
  std::string m_Data;
  std::string m_Id;
  bool m_InEvent = false;
  bool m_HasData = false;
  bool m_Overlong = false;
  std::uint64_t m_Events = 0;
  CollectedEvents m_Collected;
};

} // namespace psp::gateway

#endif
