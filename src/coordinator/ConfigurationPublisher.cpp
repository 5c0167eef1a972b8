#include "coordinator/ConfigurationPublisher.h"

#include "base/Hash.h"
#include "fleet/DocumentDifference.h"

#include <algorithm>
#include <utility>

namespace psp::coordinator {

using messages::fleet::Reply;

void ConfigurationPublisher::publish(std::uint64_t Version,
                                     const std::string &Document) {
  if (Version == 0 || Version == m_Version)
    return;
  if (m_Text)
    m_Earlier.push_back(
        {.m_Version = m_Version, .m_Digest = m_Digest, .m_Text = m_Text});
  m_Version = Version;
  m_Digest = base::toBytes(base::sha256(Document));
  m_Text = std::make_shared<const std::string>(Document);
  m_Differences.clear();
  m_DifferenceBytes = 0;
  std::size_t Bytes = 0;
  for (const HeldVersion &Held : m_Earlier)
    Bytes += Held.m_Text->size();
  while (m_Earlier.size() > 1 && Bytes > m_Options.m_MaxHeldBytes) {
    Bytes -= m_Earlier.front().m_Text->size();
    m_Earlier.pop_front();
  }
}

Reply ConfigurationPublisher::replyTo(
    const std::string &Node, const messages::fleet::FetchConfiguration &Wanted,
    const std::function<std::size_t(const std::string &)> &UnsentBytes) {
  onFetches(Node);
  Reply Result;
  if (!m_Text) {
    Result.set_kind(messages::fleet::REPLY_UNAVAILABLE);
    return Result;
  }
  Result.set_kind(messages::fleet::REPLY_OK);
  Result.set_version(m_Version);
  Result.set_digest(m_Digest);
  if (Wanted.held_version() >= m_Version)
    return Result;
  if (isBusy(UnsentBytes)) {
    Result.set_kind(messages::fleet::REPLY_BUSY);
    Result.set_wait_ms(static_cast<std::uint32_t>(
        base::wholeMilliseconds(m_Options.m_BusyWait)));
    return Result;
  }
  m_Served.insert(Node);
  // Without a digest the instance could not use a difference.
  if (!Wanted.held_digest().empty()) {
    const auto Held =
        std::ranges::find_if(m_Earlier, [&](const HeldVersion &Earlier) {
          return Earlier.m_Version == Wanted.held_version() &&
                 Earlier.m_Digest == Wanted.held_digest();
        });
    const std::string &Difference =
        differenceFrom(Held == m_Earlier.end() ? nullptr : &*Held);
    if (Difference.size() < m_Text->size()) {
      Result.set_text(Difference);
      Result.set_is_difference(true);
      return Result;
    }
  }
  Result.set_text(*m_Text);
  return Result;
}

bool ConfigurationPublisher::isBusy(
    const std::function<std::size_t(const std::string &)> &UnsentBytes) {
  std::size_t Unsent = 0;
  std::erase_if(m_Served, [&](const std::string &Node) {
    const std::size_t Bytes = UnsentBytes(Node);
    Unsent += Bytes;
    return Bytes == 0;
  });
  return Unsent > m_Options.m_MaxUnsentBytes;
}

const std::string &
ConfigurationPublisher::differenceFrom(const HeldVersion *Held) {
  const std::string Key = Held ? Held->m_Digest : std::string();
  const auto Known = m_Differences.find(Key);
  if (Known != m_Differences.end())
    return Known->second;
  std::string Made = fleet::encodeDifference(
      Held ? std::string_view(*Held->m_Text) : std::string_view(), *m_Text);
  if (m_DifferenceBytes + Made.size() > m_Options.m_MaxDifferenceBytes) {
    m_Differences.clear();
    m_DifferenceBytes = 0;
  }
  m_DifferenceBytes += Made.size();
  return m_Differences[Key] = std::move(Made);
}

void ConfigurationPublisher::onConnected(const std::string &Node,
                                         std::uint64_t Incarnation,
                                         base::TimePoint Now) {
  const auto [It, IsNew] = m_Instances.try_emplace(Node);
  if (IsNew || It->second.m_Incarnation != Incarnation)
    It->second = {.m_Incarnation = Incarnation, .m_ConnectedAt = Now};
}

void ConfigurationPublisher::onDisconnected(const std::string &Node) {
  m_Instances.erase(Node);
  m_Served.erase(Node);
}

void ConfigurationPublisher::onFetches(const std::string &Node) {
  const auto It = m_Instances.find(Node);
  if (It != m_Instances.end())
    It->second.m_Statement = Statement::Fetches;
}

bool ConfigurationPublisher::takesWholeDocuments(
    const std::string &Node) const {
  const auto It = m_Instances.find(Node);
  return It != m_Instances.end() &&
         It->second.m_Statement == Statement::TakesWholeDocuments;
}

std::vector<std::string>
ConfigurationPublisher::findInstancesThatDontFetch(base::TimePoint Now) {
  std::vector<std::string> Found;
  for (auto &[Node, Known] : m_Instances)
    if (Known.m_Statement == Statement::Awaited &&
        Now - Known.m_ConnectedAt >= m_Options.m_StatementTime) {
      Known.m_Statement = Statement::TakesWholeDocuments;
      Found.push_back(Node);
    }
  return Found;
}

std::size_t ConfigurationPublisher::heldBytes() const {
  std::size_t Bytes = m_DifferenceBytes + (m_Text ? m_Text->size() : 0);
  for (const HeldVersion &Held : m_Earlier)
    Bytes += Held.m_Text->size();
  return Bytes;
}

} // namespace psp::coordinator
