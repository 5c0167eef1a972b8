#include "control/VoterAdmission.h"

#include <algorithm>

namespace psp::control {

using base::InstanceId;

namespace {

template <typename Range>
bool contains(const Range &Values, const std::string &Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

} // namespace

VoterAdmission::VoterAdmission(InstanceId Self,
                               const std::vector<InstanceId> &Voters,
                               VoterStore &Store)
    : m_Self(std::move(Self)),
      m_Bootstrapper(*std::min_element(Voters.begin(), Voters.end())),
      m_Others(Voters), m_Store(Store) {
  std::erase(m_Others, m_Self);
}

void VoterAdmission::start(const std::string &FreshIdentity) {
  if (m_Store.identity().empty()) {
    messages::IdentityRecord Record;
    Record.set_identity(FreshIdentity);
    m_Store.setIdentity(Record);
  }
  // A group of one voter bootstraps at once.
  bootstrapIfAllGranted();
}

std::vector<InstanceId> VoterAdmission::requestTargets() const {
  return isBootstrapper() ? m_Others : std::vector<InstanceId>{m_Bootstrapper};
}

bool VoterAdmission::onRequest(const InstanceId &From,
                               const messages::StandingRequest &Request,
                               messages::StandingReply &Reply) {
  if (!m_Store.admitted() && From == m_Bootstrapper &&
      !grantBootstrap(Request.identity()))
    return false;
  Reply.set_identity(Request.identity());
  Reply.set_admitted(m_Store.admitted());
  Reply.set_founded_with(
      m_Store.admitted() &&
      contains(m_Store.identityRecord().founded_with(), Request.identity()));
  return true;
}

bool VoterAdmission::grantBootstrap(const std::string &BootstrapperIdentity) {
  messages::IdentityRecord Record = m_Store.identityRecord();
  if (Record.promised() == BootstrapperIdentity)
    return true;
  // A delayed request from an earlier disk of the bootstrapper.
  if (contains(Record.refused(), BootstrapperIdentity))
    return false;
  if (!Record.promised().empty())
    Record.add_refused(Record.promised());
  Record.set_promised(BootstrapperIdentity);
  m_Store.setIdentity(Record);
  return true;
}

void VoterAdmission::onReply(const InstanceId &From,
                             const std::string &Identity,
                             const messages::StandingReply &Reply) {
  if (m_Store.admitted() || Reply.identity() != m_Store.identity())
    return;
  if (isBootstrapper()) {
    if (Reply.admitted())
      m_BootstrapGrants.erase(From);
    else
      m_BootstrapGrants[From] = Identity;
    bootstrapIfAllGranted();
    return;
  }
  bool IsBootstrapped = From == m_Bootstrapper && Reply.founded_with() &&
                        m_Store.identityRecord().promised() == Identity;
  if (IsBootstrapped)
    admit();
}

void VoterAdmission::bootstrapIfAllGranted() {
  bool All = m_BootstrapGrants.size() == m_Others.size();
  if (!isBootstrapper() || m_Store.admitted() || !All)
    return;
  messages::IdentityRecord Record = m_Store.identityRecord();
  Record.set_admitted(true);
  for (const auto &[Instance, Identity] : m_BootstrapGrants)
    Record.add_founded_with(Identity);
  m_Store.setIdentity(Record);
}

void VoterAdmission::admit() {
  messages::IdentityRecord Record = m_Store.identityRecord();
  Record.set_admitted(true);
  m_Store.setIdentity(Record);
}

} // namespace psp::control
