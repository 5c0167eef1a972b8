/// \file
/// Answers entry instances at the leader of the history group: which turns may
/// run, on which engine, and which are recorded.

#ifndef PSP_HISTORY_HISTORYDESK_H
#define PSP_HISTORY_HISTORYDESK_H

#include "consensus/StateMachine.h"
#include "fleet/EndpointDirectory.h"
#include "turns/EnginePlacement.h"
#include "turns/TurnAdmission.h"
#include "turns/TurnLedger.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace psp::history {

/// An answer and the node that waits for it.
struct AddressedReply {
  std::string m_Node;
  messages::fleet::Reply m_Reply;
};

/// Wraps the ledger of turns: each command that is applied answers the request
/// that proposed it. Decides without I/O.
class HistoryDesk : public consensus::StateMachine {
public:
  explicit HistoryDesk(turns::TurnAdmissionOptions Admission)
      : m_Admission(Admission) {}

  using Request = messages::fleet::Request;
  using Reply = messages::fleet::Reply;

  void apply(std::uint64_t Index, std::string_view Command,
             std::uint64_t WallMs) override;
  std::string snapshot() const override { return m_Ledger.snapshot(); }
  void restore(std::string_view Snapshot) override {
    m_Ledger.restore(Snapshot);
  }

  /// Whether the same command waits already; its answer then goes to \p Asked.
  /// Load pattern: a slow leader, whose askers repeat themselves.
  bool joins(const std::string &Node, const Request &Asked);
  /// Commands that wait for their commit.
  std::size_t waiting() const { return m_Waiting.size(); }

  /// \p Asked was proposed at \p Index.
  void expect(std::uint64_t Index, const std::string &Node,
              const Request &Asked);
  /// This node doesn't lead any more: those who wait ask the next leader.
  void failAll(const std::string &Leader);
  std::vector<AddressedReply> takeReplies();

  /// The time that decisions on engines use.
  void setTime(base::TimePoint Now) { m_Now = Now; }
  void expire() { m_Placement.expire(m_Now); }

  turns::TurnLedger &ledger() { return m_Ledger; }
  fleet::EndpointDirectory &endpoints() { return m_Endpoints; }
  turns::TurnAdmission &admission() { return m_Admission; }
  /// Turns of \p Service that run or are about to begin, and its slots.
  turns::TurnAdmission::Load load(const std::string &Service) const;

private:
  struct Waiting {
    std::string m_Node;
    std::uint64_t m_RequestId = 0;
    std::string m_Turn;
    bool m_Begins = false;
  };

  Reply answerBegin(const messages::fleet::BeginTurn &Begin);
  void learn(const messages::fleet::EndTurn &End);

  turns::TurnLedger m_Ledger;
  turns::EnginePlacement m_Placement;
  turns::TurnAdmission m_Admission;
  fleet::EndpointDirectory m_Endpoints;
  std::map<std::uint64_t, Waiting> m_Waiting; ///< By index.
  std::vector<AddressedReply> m_Replies;
  base::TimePoint m_Now;
};

} // namespace psp::history

#endif
