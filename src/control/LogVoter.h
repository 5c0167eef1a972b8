/// \file
/// One voter of the replicated control log.
///
/// The protocol is Raft: terms fence off old leaders, a majority of all
/// configured voters elects and commits, a leader commits only entries of its
/// own term, and the first entry of a term is empty. Two extensions are added:
/// pre-votes, so that a voter that was disconnected does not depose the leader
/// when it reconnects, and a leader that steps down when it loses contact with
/// a quorum.
///
/// Votes and acknowledgements become durable before they are sent: a message
/// that acknowledges a record carries the sequence of that record
/// (Outgoing::m_AfterRecord) and must not be sent before the journal is synced
/// up to it. The leader's own copy and a candidate's own vote count only after
/// onSynced().
///
/// **A lost disk.** A ledger whose journal is empty may have voted and
/// acknowledged before, and must not contradict votes and acknowledgements
/// whose records are lost. Therefore each journal begins with a new random
/// identity, and only an *admitted* identity has a vote. A ledger without one
/// receives the log, but grants no vote, starts no election, and its
/// acknowledgements don't count. It is admitted in one of two ways: at the
/// bootstrap of the group (VoterAdmission.h), or by an entry that names its new
/// identity and that a leader has appended and committed within one term T. The
/// number of voters, and so the majority, never changes.
///
/// The second way is safe for this reason. Let M be the majority that holds
/// that entry in term T; the returning ledger C is not in M, since its
/// acknowledgements didn't count. Everything C had acknowledged before the loss
/// and that is committed comes before the entry in the log of T's leader:
/// entries of terms up to T by leader completeness; and in a higher term
/// nothing can have been committed, nor a leader elected with C's lost vote,
/// before the entry was: that needs a majority that had advanced beyond T
/// before, and it would share a member with M, which was still in T. On being
/// admitted C holds this whole log, and records term T with its vote given to
/// T's leader, so it votes in higher terms only. A candidate of a higher term
/// that still holds C's lost vote lacks the entry, so no member of M votes for
/// it, and it can't win. Therefore C's old and new votes can't elect two
/// leaders.
///
/// While a ledger is not admitted, the others must form a majority by
/// themselves. When the disks of a majority are lost together, entries that
/// only they held are lost, and the remaining voters elect no leader, so that
/// no state is built on an incomplete log.

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
#include "control/VoterAdmission.h"
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
  std::vector<base::InstanceId> m_Voters; ///< All voters, including this one.
  /// An election begins after a random time of one to two timeouts without
  /// contact to a leader.
  base::Duration m_ElectionTimeout = base::milliseconds(1000);
  base::Duration m_HeartbeatInterval = base::milliseconds(100);
  std::uint64_t m_Seed = 0; ///< For the election timeouts.
  /// A new random string at each start of the process. It becomes the identity
  /// of the disk if the journal contains none.
  std::string m_FreshIdentity;
  /// Number of applied entries between two checkpoints.
  std::uint64_t m_CheckpointEntries = 4096;
};

/// The outcome of one submitted command.
struct SubmitOutcome {
  std::uint64_t m_Ticket = 0;
  messages::ControlResult m_Result;
};

/// A snapshot by which the journal may replace its oldest records.
struct Checkpoint {
  std::string m_Data;
  std::uint64_t m_Covered = 0; ///< Sequence of the last replaced record.
};

class LogVoter {
public:
  LogVoter(VoterOptions Options, base::RecordSink &Sink);

  /// Restores one record of the journal. Called for each of them, oldest first,
  /// before start().
  void restoreRecord(std::string_view Record) { m_Store.restore(Record); }

  void start(const base::Now &Now);

  /// Throws UserError(BadRequest) when the message is malformed; the state is
  /// unchanged then.
  void onMessage(const base::InstanceId &From,
                 const messages::LogMessage &Message, const base::Now &Now,
                 messages::Outbox &Out);
  void onTick(const base::Now &Now, messages::Outbox &Out);

  /// The journal is synced up to \p Sequence.
  void onSynced(std::uint64_t Sequence, const base::Now &Now,
                messages::Outbox &Out);

  /// Proposes \p Command. takeResults() returns the outcome after the commit;
  /// at once, with quorum-unavailable, when this voter isn't the leader; or
  /// with outcome-unknown, when it loses leadership before the commit.
  /// Resending with the same request identifier is safe in each case.
  void submit(std::uint64_t Ticket, const messages::ControlCommand &Command,
              const base::Now &Now, messages::Outbox &Out);

  std::vector<SubmitOutcome> takeResults();

  /// Returns a checkpoint when enough entries were applied since the last one.
  std::optional<Checkpoint> takeCheckpoint();

  const ControlState &state() const { return m_State; }
  bool isLeader() const { return m_Role.kind() == RoleKind::Leader; }
  RoleKind role() const { return m_Role.kind(); }

  /// The leader, or empty when it is unknown.
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

  struct PendingSubmission {
    std::uint64_t m_Ticket = 0;
    std::uint64_t m_Term = 0;
  };
  struct PendingAdmission {
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
  void requestStanding(TimePoint Now, Outbox &Out);
  void onStandingRequest(const InstanceId &From,
                         const messages::StandingRequest &Request, Outbox &Out);
  bool isUpToDate(std::uint64_t LastTerm, std::uint64_t LastIndex) const;
  bool hasLeaderContact(TimePoint Now) const;
  bool hasQuorumContact(TimePoint Now) const;

  // Replication, in VoterReplication.cpp.
  void sendAppend(const InstanceId &To, TimePoint Now, Outbox &Out);
  void sendEntries(const InstanceId &To, TimePoint Now, Outbox &Out);
  void sendSnapshot(const InstanceId &To, TimePoint Now, Outbox &Out);
  void broadcast(TimePoint Now, Outbox &Out);
  void onAppend(const InstanceId &From, const messages::LogMessage &Message,
                TimePoint Now, Outbox &Out);
  void appendEntries(const messages::AppendRequest &Request);
  void acceptAdmission(const InstanceId &Leader,
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

  // Message dispatch and submissions, in LogVoter.cpp.
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
  VoterAdmission m_VoterAdmission;
  ControlState m_State;
  LearnerFeed m_Feed;
  Role m_Role;
  std::mt19937_64 m_Random;

  InstanceId m_Leader;
  std::optional<TimePoint> m_LeaderLastReceivedAt;
  TimePoint m_ElectionAt;
  TimePoint m_HeartbeatAt;

  std::uint64_t m_PreVoteRound = 0; ///< Matches replies to requests.
  /// Received in this pre-vote round or election.
  std::set<InstanceId> m_Votes;
  /// Sequence of the own vote's record. The vote counts once it is synced.
  std::uint64_t m_OwnVoteRecord = 0;
  std::uint64_t m_SyncedSequence = 0; ///< Last synced sequence of the journal.

  Progress m_Progress; ///< Used only while leader.
  std::map<InstanceId, PendingAdmission> m_PendingAdmissions;
  /// By log index; used only while leader.
  std::map<std::uint64_t, PendingSubmission> m_Pending;
  std::vector<SubmitOutcome> m_Results;
  std::uint64_t m_CheckpointIndex = 0;
};

} // namespace psp::control

#endif
