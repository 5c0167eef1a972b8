/// \file
/// Whether a ledger's disk has a vote, and how a new group is founded.
///
/// A new group has no state, and neither has a ledger that lost its disk; the
/// two must not be confused. One voter, the founder, asks all others for a
/// promise to its disk's identity. Only a ledger without a vote promises; from
/// then on no founding by an earlier disk of the founder can admit it. When
/// all have promised, none of them has a vote and none can get one but
/// through this founding, so there is nothing that could have been forgotten:
/// the founder admits itself, together with the identities that promised.
///
/// If anyone has a vote already, the group exists, and a ledger without one
/// waits for the leader's admission instead; see LogVoter.h. A disk that is
/// lost before the founding has reached everyone may leave the group without
/// a majority; it is then founded again from empty disks.

#ifndef PSP_CONTROL_STANDING_H
#define PSP_CONTROL_STANDING_H

#include "base/Ids.h"
#include "control/VoterStore.h"
#include "generated/log.pb.h"

#include <map>
#include <string>
#include <vector>

namespace psp::control {

class Standing {
public:
  /// \p Voters holds \p Self; the same voters name the same founder.
  Standing(base::InstanceId Self, const std::vector<base::InstanceId> &Voters,
           VoterStore &Store);

  /// Gives the disk \p FreshIdentity if it has none.
  void start(const std::string &FreshIdentity);

  const std::vector<base::InstanceId> &others() const { return m_Others; }

  /// Whom to ask while this disk has no vote.
  std::vector<base::InstanceId> toAsk() const;

  /// Takes a question, and fills in the reply. Returns false when there must
  /// be none.
  bool onRequest(const base::InstanceId &From,
                 const messages::StandingRequest &Request,
                 messages::StandingReply &Reply);

  /// \p Identity is that of the sender's disk.
  void onReply(const base::InstanceId &From, const std::string &Identity,
               const messages::StandingReply &Reply);

private:
  bool isFounder() const { return m_Self == m_Founder; }
  bool promise(const std::string &FounderIdentity);
  void foundIfAllPromised();
  void admit();

  base::InstanceId m_Self;
  base::InstanceId m_Founder;
  std::vector<base::InstanceId> m_Others;
  VoterStore &m_Store;
  /// By the founder: the identities that promised, by instance.
  std::map<base::InstanceId, std::string> m_Promised;
};

} // namespace psp::control

#endif
