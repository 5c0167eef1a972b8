/// \file
/// Whether a ledger's disk has a vote, and how a new group is bootstrapped.
///
/// A new group has no state, and neither has a ledger that lost its disk; the
/// two must not be confused. One voter, the bootstrapper, requests from all
/// others a bootstrap grant for the identity of its disk. Only a ledger
/// without a vote grants it; from then on no bootstrap by an earlier disk of
/// the bootstrapper can admit that ledger. When all have granted, none of them
/// has a vote and none can get one except through this bootstrap, so no vote
/// or entry can have been lost: the bootstrapper admits itself, together with
/// the identities that granted.
///
/// If any voter has a vote already, the group exists, and a ledger without one
/// waits for the leader's admission instead; see LogVoter.h. If a disk is lost
/// before the bootstrap has reached all voters, the group may have no majority;
/// it must then be bootstrapped again from empty disks.

#ifndef PSP_CONTROL_VOTERADMISSION_H
#define PSP_CONTROL_VOTERADMISSION_H

#include "base/Ids.h"
#include "control/VoterStore.h"
#include "generated/log.pb.h"

#include <map>
#include <string>
#include <vector>

namespace psp::control {

class VoterAdmission {
public:
  /// \p Voters includes \p Self. Every instance derives the same bootstrapper
  /// from the same voters.
  VoterAdmission(base::InstanceId Self,
                 const std::vector<base::InstanceId> &Voters,
                 VoterStore &Store);

  /// Assigns \p FreshIdentity to the disk if it has no identity.
  void start(const std::string &FreshIdentity);

  const std::vector<base::InstanceId> &others() const { return m_Others; }

  /// The voters that receive requests while this disk has no vote.
  std::vector<base::InstanceId> requestTargets() const;

  /// Handles a request and fills in the reply. Returns false when no reply may
  /// be sent.
  bool onRequest(const base::InstanceId &From,
                 const messages::StandingRequest &Request,
                 messages::StandingReply &Reply);

  /// \p Identity is the identity of the sender's disk.
  void onReply(const base::InstanceId &From, const std::string &Identity,
               const messages::StandingReply &Reply);

private:
  bool isBootstrapper() const { return m_Self == m_Bootstrapper; }
  bool grantBootstrap(const std::string &BootstrapperIdentity);
  void bootstrapIfAllGranted();
  void admit();

  base::InstanceId m_Self;
  base::InstanceId m_Bootstrapper;
  std::vector<base::InstanceId> m_Others;
  VoterStore &m_Store;
  /// On the bootstrapper: the identities that granted, by instance.
  std::map<base::InstanceId, std::string> m_BootstrapGrants;
};

} // namespace psp::control

#endif
