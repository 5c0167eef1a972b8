/// \file
/// One voter of the replicated control log.
///
/// The protocol is that of Raft: terms fence, a majority of all configured
/// voters elects and commits, a leader commits only entries of its own term,
/// and the first entry of a term is empty. Added are pre-votes, so that a
/// voter which was cut off doesn't disturb on its return, and a leader that
/// steps down when it hears no quorum.
///
/// What is promised to others is written first: a message that acknowledges a
/// record carries the record's sequence (Outgoing::m_AfterRecord) and must
/// not leave before the journal is synced up to it. The leader's own copy and
/// a candidate's own vote count only after onSynced().
///
/// **A lost disk.** A ledger whose journal is empty may have voted and
/// acknowledged before; it must never vote on what it has forgotten. So each
/// journal begins with a fresh random identity, and only an *admitted*
/// identity has a vote. Without one a ledger receives the log, but grants no
/// vote, starts no election, and its acknowledgements don't count. It is
/// admitted in one of two ways: at the founding of the group (Standing.h), or
/// by an entry that names its new identity and that a leader has appended and
/// committed within one term T. The number of voters, and so the majority,
/// never changes.
///
/// Why the second way is safe. Let M be the majority that holds that entry in
/// term T; the returning ledger C is not in M, since its acknowledgements
/// didn't count. Everything C had acknowledged before the loss and that is
/// committed comes before the entry in the log of T's leader: entries of
/// terms up to T by leader completeness; and in a higher term nothing can
/// have been committed, nor a leader elected with C's forgotten vote, before
/// the entry was: that needs a majority that had left T before, and it would
/// share a member with M, which was still in T. On being admitted C holds
/// this whole log, and records term T with its vote given to T's leader, so
/// it votes in higher terms only. A candidate of a higher term that still
/// holds C's forgotten vote lacks the entry, so no member of M votes for it,
/// and it can't win. C's old and new vote therefore never elect two leaders.
///
/// While a ledger is out, the others must form a majority by themselves. When
/// disks of a majority are lost together, what only they held is lost, and
/// the rest doesn't elect: nothing is invented.

#ifndef PSP_CONTROL_LOGVOTER_H
#define PSP_CONTROL_LOGVOTER_H

#include "base/ErrorKind.h"
#include "base/Ids.h"
#include "base/RecordSink.h"
#include "base/Time.h"
#include "control/ControlState.h"
#include "control/LearnerFeed.h"
#include "control/Progress.h"
#include "control/Role.h"
#include "control/Standing.h"
#include "control/VoterStore.h"
#include "generated/log.pb.h"
#include "messages/Outbox.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace psp::control {

struct VoterOptions {
  base::InstanceId m_Self;
  std::vector<base::InstanceId> m_Voters; ///< All of them, with this one.
  /// Elections begin after one to two of these without a leader.
  base::Duration m_ElectionTimeout = base::milliseconds(1000);
  base::Duration m_HeartbeatInterval = base::milliseconds(100);
  std::uint64_t m_Seed = 0; ///< For the election timeouts.
  /// Random text, new at each start of the process. It becomes the identity
  /// of the disk if the journal holds none.
  std::string m_FreshIdentity;
  /// Applied entries between two checkpoints.
  std::uint64_t m_CheckpointEntries = 4096;
};

/// The answer to one submission.
struct SubmitOutcome {
  std::uint64_t m_Ticket = 0;
  messages::ControlResult m_Result;
};

/// What the journal may put in the place of its oldest records.
struct Checkpoint {
  std::string m_Data;
  std::uint64_t m_Covered = 0; ///< Sequence of the last replaced record.
};

class LogVoter {
public:
  LogVoter(VoterOptions Options, base::RecordSink &Sink);

  /// Takes the journal's records, oldest first, before start().
  void restoreRecord(std::string_view Record) { m_Store.restore(Record); }

  void start(const base::Now &Now);

  /// Throws UserError(BadRequest) when the message is malformed; nothing has
  /// changed then.
  void onMessage(const base::InstanceId &From,
                 const messages::LogMessage &Message, const base::Now &Now,
                 messages::Outbox &Out);
  void onTick(const base::Now &Now, messages::Outbox &Out);

  /// The journal is synced up to \p Sequence.
  void onSynced(std::uint64_t Sequence, const base::Now &Now,
                messages::Outbox &Out);

  /// Proposes \p Command. The outcome comes after the commit; or at once,
  /// with quorum-unavailable, when this voter doesn't lead; or with
  /// outcome-unknown, when it stops leading before the commit. Resending with
  /// the same request identifier is safe in each case.
  void submit(std::uint64_t Ticket, const messages::ControlCommand &Command,
              const base::Now &Now, messages::Outbox &Out);

  std::vector<SubmitOutcome> takeResults();

  /// A checkpoint, each time that enough entries were applied since the last.
  std::optional<Checkpoint> takeCheckpoint();

  const ControlState &state() const { return m_State; }
  bool isLeader() const { return m_Role.kind() == RoleKind::Leader; }
  RoleKind role() const { return m_Role.kind(); }

  /// The leader as far as known; empty when it isn't.
  const base::InstanceId &leader() const { return m_Leader; }
  std::uint64_t term() const { return m_Store.term(); }
  std::uint64_t commitIndex() const { return m_State.appliedIndex(); }
  std::uint64_t lastIndex() const { return m_Store.log().lastIndex(); }

  /// Whether this ledger's disk has a vote.
  bool admitted() const { return m_Store.admitted(); }
  const std::string &identity() const { return m_Store.identity(); }
  std::size_t learnerCount() const { return m_Feed.learnerCount(); }

private:
  using TimePoint = base::TimePoint;
  using InstanceId = base::InstanceId;
  using Outbox = messages::Outbox;

  struct Pending {
    std::uint64_t m_Ticket = 0;
    std::uint64_t m_Term = 0;
  };
  struct Admitting {
    std::string m_Identity;
    std::uint64_t m_Index = 0;
  };

  // Elections, in VoterElection.cpp.
  void scheduleElection(TimePoint Now);
  void adoptTerm(std::uint64_t Term, TimePoint Now);
  void follow(const InstanceId &Leader, TimePoint Now);
  void startPreVote(TimePoint Now, Outbox &Out);
  void startElection(TimePoint Now, Outbox &Out);
  void countVotes(TimePoint Now, Outbox &Out);
  void becomeLeader(TimePoint Now, Outbox &Out);
  void onPreVote(const InstanceId &From, const messages::LogMessage &Message,
                 TimePoint Now, Outbox &Out);
  void onPreVoteReply(const InstanceId &From,
                      const messages::LogMessage &Message, TimePoint Now,
                      Outbox &Out);
  void onVote(const InstanceId &From, const messages::LogMessage &Message,
              TimePoint Now, Outbox &Out);
  void onVoteReply(const InstanceId &From, const messages::LogMessage &Message,
                   TimePoint Now, Outbox &Out);
  void askStanding(TimePoint Now, Outbox &Out);
  void onStanding(const InstanceId &From,
                  const messages::StandingRequest &Request, Outbox &Out);
  bool isUpToDate(std::uint64_t LastTerm, std::uint64_t LastIndex) const;
  bool hearsLeader(TimePoint Now) const;
  bool hearsQuorum(TimePoint Now) const;

  // Replication, in VoterReplication.cpp.
  void sendAppend(const InstanceId &To, TimePoint Now, Outbox &Out);
  void sendEntries(const InstanceId &To, TimePoint Now, Outbox &Out);
  void sendSnapshot(const InstanceId &To, TimePoint Now, Outbox &Out);
  void broadcast(TimePoint Now, Outbox &Out);
  void onAppend(const InstanceId &From, const messages::LogMessage &Message,
                TimePoint Now, Outbox &Out);
  void appendEntries(const messages::AppendRequest &Request);
  void takeAdmission(const InstanceId &Leader,
                     const messages::Admission &Admission,
                     std::uint64_t MatchIndex);
  void onAppendReply(const InstanceId &From,
                     const messages::LogMessage &Message, TimePoint Now,
                     Outbox &Out);
  void onSnapshot(const InstanceId &From, const messages::LogMessage &Message,
                  TimePoint Now, Outbox &Out);
  void proposeAdmission(const InstanceId &Peer, const std::string &Identity,
                        TimePoint Now, Outbox &Out);
  std::uint64_t propose(messages::LogEntry Entry);
  void advanceCommit(TimePoint Now, Outbox &Out);
  void applyUpTo(std::uint64_t Index);

  // The rest, in LogVoter.cpp.
  std::size_t quorum() const { return m_Options.m_Voters.size() / 2 + 1; }
  bool isVoter(const InstanceId &Instance) const;
  void handle(const InstanceId &From, const messages::LogMessage &Message,
              TimePoint Now, Outbox &Out);
  messages::LogMessage &send(const InstanceId &To, std::uint64_t AfterRecord,
                             Outbox &Out);
  base::Duration age(TimePoint Now) const;
  void finish(std::uint64_t Ticket, const std::string &RequestId,
              base::ErrorKind Kind, const std::string &Detail);
  void failPending();

  VoterOptions m_Options;
  VoterStore m_Store;
  Standing m_Standing;
  ControlState m_State;
  LearnerFeed m_Feed;
  Role m_Role;
  std::mt19937_64 m_Random;

  InstanceId m_Leader;
  std::optional<TimePoint> m_HeardLeader;
  TimePoint m_ElectionAt;
  TimePoint m_HeartbeatAt;

  std::uint64_t m_Round = 0;      ///< Of pre-votes.
  std::set<InstanceId> m_Votes;   ///< Of this round or this election.
  std::uint64_t m_OwnVote = 0;    ///< Record that must be synced first.
  std::uint64_t m_SyncedUpTo = 0; ///< Sequence of the journal.

  Progress m_Progress; ///< While leading.
  std::map<InstanceId, Admitting> m_Admitting;
  std::map<std::uint64_t, Pending> m_Pending; ///< By index, while leading.
  std::vector<SubmitOutcome> m_Results;
  std::uint64_t m_CheckpointIndex = 0;
};

} // namespace psp::control

#endif
