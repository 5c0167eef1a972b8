/// \file
/// The replicated state machine of one history group, and the requests that
/// wait for its commands to be committed.

#ifndef PSP_HISTORY_HISTORYSTATEMACHINE_H
#define PSP_HISTORY_HISTORYSTATEMACHINE_H

#include "consensus/StateMachine.h"
#include "fleet/ReplyAddress.h"
#include "history/ChainTexts.h"
#include "history/HandedOutEvents.h"
#include "turns/TurnLedger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace psp::history {

/// A reply and where it is sent.
struct AddressedReply {
  fleet::ReplyAddress m_To;
  messages::fleet::Reply m_Reply;
};

/// A request of which the sender still waits for a reply.
struct AddressedRequest {
  fleet::ReplyAddress m_From;
  messages::fleet::Request m_Request;
};

/// The engine that a turn has a slot on.
struct GrantedSlot {
  std::string m_Endpoint; ///< Empty: none.
  std::uint64_t m_Born = 0;
};

/// A chain of up to this many bytes is part of the reply that grants its turn.
/// A longer one is read in parts.
inline constexpr std::uint64_t MaxInlineChainBytes = 64U << 10U;
/// A requester with earlier software gets a chain of up to this many bytes as a
/// whole, and none of a longer one.
inline constexpr std::uint64_t MaxWholeChainBytes = 8U << 20U;

/// Wraps the ledger of turns: when a command is applied, the request that
/// proposed it is answered. Decides without I/O, except that it reads the texts
/// of turns from the log.
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

  /// If the command of \p Repeated is pending already, directs its reply to
  /// \p From and returns true. Load pattern: the leader is slow, and requesters
  /// repeat their requests.
  bool coalesce(const fleet::ReplyAddress &From, const Request &Repeated);
  /// Number of commands that wait for their commit.
  std::size_t pendingCommands() const { return m_PendingCommands.size(); }

  /// Registers \p Proposed, which is proposed at \p Index. A BeginTurn command
  /// may have a slot. Its earlier turn is missing for good only if
  /// \p ChainSearched: no other group has it.
  void awaitCommit(std::uint64_t Index, const fleet::ReplyAddress &From,
                   const Request &Proposed, const GrantedSlot &Granted = {},
                   bool ChainSearched = false);
  /// Replies to all pending requests that this node is no longer the leader, so
  /// that their senders contact \p Leader.
  void failAll(const std::string &Leader);
  std::vector<AddressedReply> takeReplies();
  /// Removes and returns requests to begin turns whose earlier turn this group
  /// no longer has. Another group may.
  std::vector<AddressedRequest> takeMissingChains();
  /// Removes and returns reports on turns that had a slot but did not begin.
  std::vector<messages::fleet::TurnReport> takeUnusedSlots();

  /// Errors in reading from this disk since the last call.
  std::vector<std::string> takeReadErrors();

  /// The text of \p Turn and all turns before it; empty if this group has no
  /// such turn.
  std::optional<std::string> chainText(const std::string &Organisation,
                                       const std::string &Turn) const;
  /// Adds the text of \p Turn and all turns before it to \p Answer, or its
  /// length if it is long and the requester reads it \p InParts, and how long
  /// it is retained from \p NowMs on. Returns false if this group has no such
  /// turn. One whose time is over counts while it is there: the clock of this
  /// node may be wrong.
  bool addChain(const std::string &Organisation, const std::string &Turn,
                bool InParts, std::uint64_t NowMs, Reply &Answer) const;
  /// Adds the events to \p Answer that the caller has who takes up a stream as
  /// \p Wanted, at \p NowMs. Without them \p Answer is BUSY if they may still
  /// be recorded, and otherwise STREAM_UNKNOWN.
  void addHandedOutEvents(const messages::fleet::FindStream &Wanted,
                          std::uint64_t NowMs, Reply &Answer) const;
  const turns::TurnLedger &ledger() const { return m_Ledger; }

private:
  enum class CommandKind { Begin, End, Stream, ServiceVersion };

  struct PendingCommand {
    fleet::ReplyAddress m_From;
    std::uint64_t m_RequestId = 0;
    std::string m_Turn; ///< Or the stream or version that is recorded.
    std::string m_Service;
    std::string m_Endpoint;
    std::uint64_t m_EngineBorn = 0;
    CommandKind m_Kind = CommandKind::Begin;
    bool m_KeepsTurn = false;  ///< The request ends a turn that is retained.
    bool m_ReadsParts = false; ///< The requester reads a long chain in parts.
    /// Unless the earlier turn was searched for in the other groups.
    std::optional<Request> m_Begin;
  };

  /// Kind of a request or of a command, and the turn or stream that it names.
  template <typename Message>
  static std::pair<CommandKind, std::string> subjectOf(const Message &Command);
  Reply makeBeginReply(const messages::fleet::BeginTurn &Begin,
                       const PendingCommand &Pending, std::uint64_t WallMs);
  Reply makeStreamReply(const messages::fleet::RecordStream &Recorded) const;
  Reply makeEndReply(const messages::fleet::EndTurn &End,
                     const PendingCommand &Pending) const;

  const EntrySource &m_Entries;
  turns::TurnLedger m_Ledger;
  std::map<std::uint64_t, PendingCommand> m_PendingCommands; ///< By index.
  std::vector<AddressedReply> m_Replies;
  std::vector<AddressedRequest> m_MissingChains;
  std::vector<messages::fleet::TurnReport> m_UnusedSlots;
  std::vector<std::string> m_ReadErrors;
};

} // namespace psp::history

#endif
