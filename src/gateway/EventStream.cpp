#include "gateway/EventStream.h"

#include <utility>

namespace psp::gateway {

namespace {

constexpr std::string_view DataPrefix = "data:";
/// Far above any valid event: one with some hundred tokens has a few thousand
/// bytes.
constexpr std::size_t MaxEventBytes = 1U << 20U;

} // namespace

void EventStream::feed(std::string_view Bytes) {
  while (!Bytes.empty() && !m_Overlong) {
    const std::size_t End = Bytes.find('\n');
    if (End == std::string_view::npos) {
      m_PartialLine += Bytes;
      m_Overlong = m_PartialLine.size() > MaxEventBytes;
      return;
    }
    m_PartialLine += Bytes.substr(0, End);
    Bytes.remove_prefix(End + 1);
    const std::string Line = std::exchange(m_PartialLine, {});
    processLine(Line);
  }
}

void EventStream::processLine(std::string_view Line) {
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  if (Line.starts_with(':')) // A comment.
    return;
  if (!Line.empty()) {
    m_InEvent = true;
    if (Line.starts_with(DataPrefix)) {
      Line.remove_prefix(DataPrefix.size());
      if (Line.starts_with(' '))
        Line.remove_prefix(1);
      if (std::exchange(m_HasData, true))
        m_Data += '\n';
      m_Data += Line;
      m_Overlong = m_Data.size() > MaxEventBytes;
    }
    return;
  }
  if (!std::exchange(m_InEvent, false))
    return;
  if (std::exchange(m_HasData, false)) {
    ++m_Events;
    if (m_CollectText)
      m_Text += m_Data + '\n';
  }
  m_Data.clear();
}

} // namespace psp::gateway
