#include "gateway/EventStream.h"

#include <utility>

namespace psp::gateway {

namespace {

/// The value of a field, of which a space at the start is no part.
std::string_view fieldValue(std::string_view Line, std::string_view Prefix) {
  Line.remove_prefix(Prefix.size());
  if (Line.starts_with(' '))
    Line.remove_prefix(1);
  return Line;
}

constexpr std::string_view DataPrefix = "data:";
constexpr std::string_view IdPrefix = "id:";
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
      if (std::exchange(m_HasData, true))
        m_Data += '\n';
      m_Data += fieldValue(Line, DataPrefix);
      m_Overlong = m_Data.size() > MaxEventBytes;
    } else if (Line.starts_with(IdPrefix)) {
      m_Id = fieldValue(Line, IdPrefix);
    }
    return;
  }
  if (!std::exchange(m_InEvent, false))
    return;
  if (std::exchange(m_HasData, false)) {
    ++m_Events;
    if (m_CollectText)
      m_Collected.m_Text += m_Data + '\n';
    if (m_CollectIds)
      m_Collected.m_Events.push_back(
          {.m_Id = std::move(m_Id), .m_Bytes = m_Data.size() + 1});
  }
  m_Data.clear();
  m_Id.clear();
}

} // namespace psp::gateway
