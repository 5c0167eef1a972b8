/// \file
/// The deterministic state machine over the committed commands of the control
/// log. Every ledger and every learner applies the same commands in the same
/// order and therefore holds the same state; differing digests reveal a
/// divergence.

#ifndef PSP_CONTROL_CONTROLSTATE_H
#define PSP_CONTROL_CONTROLSTATE_H

#include "base/ErrorKind.h"
#include "base/Hash.h"
#include "base/Ids.h"
#include "generated/control.pb.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace psp::control {

/// Maximum number of operator requests whose results are retained, so that a
/// resent request gets the same result.
inline constexpr std::size_t MaxRetainedRequests = 10000;

/// The state after a prefix of the log is applied.
class ControlState {
public:
  /// Applies the command at \p Index, which must be the next one. A command
  /// without a change only advances the index.
  ///
  /// A rejected command changes nothing, but its result is retained, so that
  /// a resend gets the same result.
  messages::ControlResult apply(std::uint64_t Index,
                                const messages::ControlCommand &Command);

  /// Replaces the whole state. Throws UserError(BadRequest) when \p Snapshot
  /// is malformed; the state is unchanged then.
  void restore(const messages::ControlSnapshot &Snapshot);

  messages::ControlSnapshot snapshot() const;

  /// The configuration in force; number 0 when there is none.
  const messages::Configuration &configuration() const {
    return m_Configuration;
  }

  /// Returns null when there is no such entry. The pointer is valid until the
  /// next command is applied.
  const messages::Organisation *
  findOrganisation(const base::OrganisationId &Organisation) const;
  const messages::Service *findService(std::string_view Name) const;

  /// Also finds withdrawn keys; see Key::withdrawn.
  const messages::Key *findKey(const base::Digest &KeyDigest) const;

  /// Also true for an identifier that was withdrawn before its key was issued.
  bool isWithdrawn(const base::KeyId &Key) const;

  /// The data centre that serves the programs of \p Home; itself by default.
  base::DataCentreId servedBy(const base::DataCentreId &Home) const;

  /// Number of times that \p Home was fenced.
  std::uint64_t homeEpoch(const base::DataCentreId &Home) const;

  /// Index of the last applied command; 0 when there is none.
  std::uint64_t appliedIndex() const { return m_AppliedIndex; }

  /// Chain digest over every applied command and its result.
  const base::Digest &digest() const { return m_Digest; }

private:
  using Result = messages::ControlResult;

  const messages::AppliedRequest *
  findRequest(const std::string &RequestId) const;
  void retainResult(const std::string &RequestId,
                    const std::string &CommandDigest, const Result &Answer);
  void execute(const messages::ControlCommand &Command, Result &Answer);
  void setConfiguration(const messages::Configuration &Next,
                        std::uint64_t Index);
  void putConfiguration(const messages::Configuration &Next, Result &Answer);
  void giveKey(const messages::Key &Key);
  void withdrawKey(const std::string &KeyId);
  void fenceDataCentre(const messages::FenceDataCentre &Change, Result &Answer);
  void nextFencingNumber(const std::string &Endpoint, Result &Answer);

  std::uint64_t m_AppliedIndex = 0;
  base::Digest m_Digest{};
  messages::Configuration m_Configuration;
  std::uint64_t m_ConfigurationIndex = 0;
  /// Positions in the configuration by name, since every request looks up
  /// names.
  std::map<std::string, int, std::less<>> m_Organisations;
  std::map<std::string, int, std::less<>> m_Services;
  std::map<std::string, messages::Key> m_Keys; ///< By key identifier.
  std::map<base::Digest, std::string>
      m_KeyDigests; ///< Key identifier by digest.
  std::map<std::string, messages::Home> m_Homes;
  std::map<std::string, std::uint64_t> m_FencingNumbers; ///< By endpoint.
  std::map<std::string, messages::AppliedRequest> m_Requests;
  std::deque<std::string> m_RequestOrder; ///< Oldest first.
};

} // namespace psp::control

#endif
