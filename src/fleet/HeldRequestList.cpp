#include "fleet/HeldRequestList.h"

#include <algorithm>

namespace psp::fleet {

using messages::fleet::HeldRequest;

bool HeldRequestList::hold(const messages::fleet::HoldRequest &Command,
                           std::uint64_t Index, std::uint64_t WallMs) {
  if (Command.hold() != nextHold(Command.fingerprint()))
    return false;
  forget(WallMs);
  HeldRequest *Held = findMutable(Command.fingerprint());
  if (!Held) {
    Held = m_State.add_requests();
    Held->set_fingerprint(Command.fingerprint());
    Held->set_organisation(Command.organisation());
    Held->set_route(Command.route());
    Held->set_since_ms(WallMs);
    *Held->mutable_endpoints() = Command.endpoints();
  }
  Held->set_holds(Command.hold());
  Held->set_until_ms(WallMs +
                     base::wholeMilliseconds(lengthOf(Command.hold())));
  m_State.set_revision(Index);
  return true;
}

bool HeldRequestList::release(const std::string &Fingerprint,
                              std::uint64_t Index) {
  auto &Requests = *m_State.mutable_requests();
  const auto It =
      std::ranges::find(Requests, Fingerprint, &HeldRequest::fingerprint);
  if (It == Requests.end())
    return false;
  Requests.erase(It);
  m_State.set_revision(Index);
  return true;
}

const HeldRequest *HeldRequestList::find(const std::string &Fingerprint) const {
  const auto It = std::ranges::find(m_State.requests(), Fingerprint,
                                    &HeldRequest::fingerprint);
  return It == m_State.requests().end() ? nullptr : &*It;
}

std::uint64_t HeldRequestList::leftMs(const HeldRequest &Held,
                                      std::uint64_t WallMs) const {
  return std::min(std::max(Held.until_ms(), WallMs) - WallMs,
                  base::wholeMilliseconds(lengthOf(Held.holds())));
}

/// Length of the hold with the number \p Hold, which begins at 1.
base::Duration HeldRequestList::lengthOf(std::uint32_t Hold) const {
  const std::size_t Last = m_Options.m_Holds.size() - 1;
  return m_Options.m_Holds[std::min<std::size_t>(std::max(Hold, 1U) - 1, Last)];
}

std::uint32_t HeldRequestList::nextHold(const std::string &Fingerprint) const {
  const HeldRequest *Held = find(Fingerprint);
  return Held ? Held->holds() + 1 : 1;
}

HeldRequest *HeldRequestList::findMutable(const std::string &Fingerprint) {
  const auto It = std::ranges::find(*m_State.mutable_requests(), Fingerprint,
                                    &HeldRequest::fingerprint);
  return It == m_State.mutable_requests()->end() ? nullptr : &*It;
}

/// Drops requests that were not tried again, and makes room for one.
void HeldRequestList::forget(std::uint64_t WallMs) {
  auto &Requests = *m_State.mutable_requests();
  const std::uint64_t RetentionMs =
      base::wholeMilliseconds(m_Options.m_RetentionTime);
  for (auto It = Requests.begin(); It != Requests.end();)
    It = It->until_ms() + RetentionMs < WallMs ? Requests.erase(It) : It + 1;
  while (static_cast<std::size_t>(Requests.size()) >= m_Options.m_MaxRequests)
    Requests.erase(
        std::ranges::min_element(Requests, {}, &HeldRequest::until_ms));
}

} // namespace psp::fleet
