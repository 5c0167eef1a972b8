#include "gateway/LateStreamRecords.h"

#include <utility>

namespace psp::gateway {

bool LateStreamRecords::add(LateStreamRecord Record) {
  if (m_Records.size() >= m_Options.m_MaxRecords)
    return false;
  m_Records.push_back(std::move(Record));
  return true;
}

std::optional<LateStreamRecord>
LateStreamRecords::takeNext(base::TimePoint Now) {
  while (!m_Records.empty()) {
    LateStreamRecord Next = std::move(m_Records.front());
    m_Records.pop_front();
    if (Now < Next.m_Until && Next.m_IsNeeded())
      return Next;
  }
  return std::nullopt;
}

} // namespace psp::gateway
