#include "turns/StreamVersions.h"

#include <algorithm>
#include <utility>

namespace psp::turns {

namespace {

std::string keyOf(const std::string &Organisation, const std::string &Stream) {
  return Organisation + '\0' + Stream;
}

} // namespace

void StreamVersions::record(const std::string &Organisation,
                            const std::string &Stream, StreamVersion Version,
                            std::uint64_t ExpiresMs) {
  if (Version.m_Software.empty() || Stream.empty() ||
      Stream.size() > m_Options.m_MaxNameBytes)
    return;
  const Key RowKey = keyOf(Organisation, Stream);
  std::size_t &Count = m_CountByOrganisation[Organisation];
  if (m_Rows.contains(RowKey) || Count >= m_Options.m_MaxPerOrganisation)
    return;
  ++Count;
  m_Rows[RowKey] = {.m_Version = std::move(Version),
                    .m_Organisation = Organisation,
                    .m_ExpiresMs = ExpiresMs};
  m_Expiry.add(RowKey, ExpiresMs);
}

const StreamVersion *StreamVersions::find(const std::string &Organisation,
                                          const std::string &Stream,
                                          std::uint64_t NowMs) const {
  const auto It = m_Rows.find(keyOf(Organisation, Stream));
  return It == m_Rows.end() || It->second.m_ExpiresMs < NowMs
             ? nullptr
             : &It->second.m_Version;
}

void StreamVersions::extend(const std::string &Organisation,
                            const std::string &Stream,
                            std::uint64_t ExpiresMs) {
  const auto It = m_Rows.find(keyOf(Organisation, Stream));
  if (It != m_Rows.end())
    It->second.m_ExpiresMs = std::max(It->second.m_ExpiresMs, ExpiresMs);
}

void StreamVersions::expire(std::uint64_t WallMs) {
  for (const Key &Due : m_Expiry.takeDue(WallMs)) {
    const auto It = m_Rows.find(Due);
    if (It == m_Rows.end())
      continue;
    if (It->second.m_ExpiresMs >= WallMs) {
      m_Expiry.add(Due, It->second.m_ExpiresMs);
      continue;
    }
    const auto Count = m_CountByOrganisation.find(It->second.m_Organisation);
    if (--Count->second == 0)
      m_CountByOrganisation.erase(Count);
    m_Rows.erase(It);
  }
}

void StreamVersions::clear() {
  m_Rows.clear();
  m_CountByOrganisation.clear();
  m_Expiry.clear();
}

void StreamVersions::save(messages::fleet::TurnLedgerSnapshot &Snapshot) const {
  for (const auto &[RowKey, Saved] : m_Rows) {
    auto &Out = *Snapshot.add_streams();
    Out.set_organisation(Saved.m_Organisation);
    Out.set_stream(RowKey.substr(Saved.m_Organisation.size() + 1));
    Out.set_software(Saved.m_Version.m_Software);
    Out.set_recorded_ms(Saved.m_Version.m_RecordedMs);
    Out.set_expires_ms(Saved.m_ExpiresMs);
  }
}

void StreamVersions::load(const messages::fleet::TurnLedgerSnapshot &Snapshot) {
  clear();
  for (const auto &Saved : Snapshot.streams())
    record(
        Saved.organisation(), Saved.stream(),
        {.m_Software = Saved.software(), .m_RecordedMs = Saved.recorded_ms()},
        Saved.expires_ms());
}

} // namespace psp::turns
