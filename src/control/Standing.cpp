#include "control/Standing.h"

#include <algorithm>

namespace psp::control {

using base::InstanceId;

namespace {

template <typename Range>
bool contains(const Range &Values, const std::string &Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

} // namespace

Standing::Standing(InstanceId Self, const std::vector<InstanceId> &Voters,
                   VoterStore &Store)
    : m_Self(std::move(Self)),
      m_Founder(*std::min_element(Voters.begin(), Voters.end())),
      m_Others(Voters), m_Store(Store) {
  std::erase(m_Others, m_Self);
}

void Standing::start(const std::string &FreshIdentity) {
  if (m_Store.identity().empty()) {
    messages::IdentityRecord Record;
    Record.set_identity(FreshIdentity);
    m_Store.setIdentity(Record);
  }
  // A group of one has nobody to ask.
  foundIfAllPromised();
}

std::vector<InstanceId> Standing::toAsk() const {
  return isFounder() ? m_Others : std::vector<InstanceId>{m_Founder};
}

bool Standing::onRequest(const InstanceId &From,
                         const messages::StandingRequest &Request,
                         messages::StandingReply &Reply) {
  if (!m_Store.admitted() && From == m_Founder && !promise(Request.identity()))
    return false;
  Reply.set_identity(Request.identity());
  Reply.set_admitted(m_Store.admitted());
  Reply.set_founded_with(
      m_Store.admitted() &&
      contains(m_Store.identityRecord().founded_with(), Request.identity()));
  return true;
}

bool Standing::promise(const std::string &FounderIdentity) {
  messages::IdentityRecord Record = m_Store.identityRecord();
  if (Record.promised() == FounderIdentity)
    return true;
  // The question of an earlier disk, under way for long.
  if (contains(Record.refused(), FounderIdentity))
    return false;
  if (!Record.promised().empty())
    Record.add_refused(Record.promised());
  Record.set_promised(FounderIdentity);
  m_Store.setIdentity(Record);
  return true;
}

void Standing::onReply(const InstanceId &From, const std::string &Identity,
                       const messages::StandingReply &Reply) {
  if (m_Store.admitted() || Reply.identity() != m_Store.identity())
    return;
  if (isFounder()) {
    if (Reply.admitted())
      m_Promised.erase(From);
    else
      m_Promised[From] = Identity;
    foundIfAllPromised();
    return;
  }
  bool IsFounding = From == m_Founder && Reply.founded_with() &&
                    m_Store.identityRecord().promised() == Identity;
  if (IsFounding)
    admit();
}

void Standing::foundIfAllPromised() {
  bool All = m_Promised.size() == m_Others.size();
  if (!isFounder() || m_Store.admitted() || !All)
    return;
  messages::IdentityRecord Record = m_Store.identityRecord();
  Record.set_admitted(true);
  for (const auto &[Instance, Identity] : m_Promised)
    Record.add_founded_with(Identity);
  m_Store.setIdentity(Record);
}

void Standing::admit() {
  messages::IdentityRecord Record = m_Store.identityRecord();
  Record.set_admitted(true);
  m_Store.setIdentity(Record);
}

} // namespace psp::control
