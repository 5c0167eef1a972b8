/// \file
/// The state of one history group and the requests that wait for it.

#ifndef PSP_HISTORY_HISTORYSTATEMACHINE_H
#define PSP_HISTORY_HISTORYSTATEMACHINE_H

#include "consensus/StateMachine.h"
#include "turns/TurnLedger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::history {

/// An answer and the node that waits for it.
struct AddressedReply {
  std::string m_Node;
  messages::fleet::Reply m_Reply;
};

/// Reads commands back that the ledger refers to.
class EntrySource {
public:
  virtual ~EntrySource() = default;

  /// Throws UserError(Internal) when the entry is damaged on this disk.
  virtual std::string commandAt(std::uint64_t Index) const = 0;
};

/// Wraps the ledger of turns: each command that is applied answers the request
/// that proposed it. Decides without I/O, but for texts that it reads back.
class HistoryStateMachine : public consensus::StateMachine {
public:
  using Request = messages::fleet::Request;
  using Reply = messages::fleet::Reply;

  explicit HistoryStateMachine(const EntrySource &Entries)
      : m_Entries(Entries) {}

  void apply(std::uint64_t Index, std::string_view Command,
             std::uint64_t WallMs) override;
  std::string snapshot() const override { return m_Ledger.snapshot(); }
  std::optional<std::uint64_t> oldestEntry() const override {
    return m_Ledger.oldestEntry();
  }
  void restore(std::string_view Snapshot) override {
    m_Ledger.restore(Snapshot);
  }

  /// Whether the same command waits already; its answer then goes to \p Asked.
  /// Load pattern: a slow leader, whose askers repeat themselves.
  bool joins(const std::string &Node, const Request &Asked);
  /// Commands that wait for their commit.
  std::size_t waiting() const { return m_Waiting.size(); }

  /// \p Asked was proposed at \p Index, a begin with a place on \p Endpoint.
  void expect(std::uint64_t Index, const std::string &Node,
              const Request &Asked, const std::string &Endpoint = {});
  /// This node doesn't lead any more: those who wait ask the next leader.
  void failAll(const std::string &Leader);
  std::vector<AddressedReply> takeReplies();
  /// Turns that had a place and didn't begin.
  std::vector<messages::fleet::TurnReport> takeUnused();

  /// Faults of this disk that were met since the last call.
  std::vector<std::string> takeFaults();

  /// The text of \p Turn and all turns before it; nothing if there is no such
  /// turn here.
  std::optional<std::string> chainText(const std::string &Organisation,
                                       const std::string &Turn) const;
  const turns::TurnLedger &ledger() const { return m_Ledger; }

private:
  struct Waiting {
    std::string m_Node;
    std::uint64_t m_RequestId = 0;
    std::string m_Turn;
    std::string m_Service;
    std::string m_Endpoint;
    bool m_Begins = false;
  };

  Reply answerBegin(const messages::fleet::BeginTurn &Begin,
                    const Waiting &Asked);

  const EntrySource &m_Entries;
  turns::TurnLedger m_Ledger;
  std::map<std::uint64_t, Waiting> m_Waiting; ///< By index.
  std::vector<AddressedReply> m_Replies;
  std::vector<messages::fleet::TurnReport> m_Unused;
  std::vector<std::string> m_Faults;
};

} // namespace psp::history

#endif
