#include "gateway/RecordedVersions.h"

#include <algorithm>

namespace psp::gateway {

bool RecordedVersions::isRecorded(const std::string &Service,
                                  const std::string &Software,
                                  base::TimePoint Now) const {
  const auto It = m_Records.find({Service, Software});
  return It != m_Records.end() && Now < It->second.m_ValidUntil;
}

bool RecordedVersions::takeDue(const std::string &Service,
                               const std::string &Software,
                               base::TimePoint Now) {
  Record &Entry = m_Records[{Service, Software}];
  if (Now < Entry.m_NextRequestAt)
    return false;
  Entry.m_NextRequestAt = Now + m_Options.m_RetryInterval;
  return true;
}

bool RecordedVersions::hasFailed(const std::string &Service,
                                 const std::string &Software) const {
  const auto It = m_Records.find({Service, Software});
  return It != m_Records.end() && It->second.m_Failed;
}

void RecordedVersions::onFailed(const std::string &Service,
                                const std::string &Software) {
  m_Records[{Service, Software}].m_Failed = true;
}

void RecordedVersions::onRecorded(const std::string &Service,
                                  const std::string &Software,
                                  base::TimePoint SentAt) {
  Record &Entry = m_Records[{Service, Software}];
  Entry.m_ValidUntil =
      std::max(Entry.m_ValidUntil, SentAt + m_Options.m_ValidTime);
  Entry.m_NextRequestAt = SentAt + m_Options.m_ValidTime / 2;
  Entry.m_Failed = false;
}

} // namespace psp::gateway
