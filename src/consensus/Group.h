/// \file
/// One member of a replicated group whose membership can change at run time.
///
/// The protocol is Raft: terms fence stale leaders, a majority of the members
/// elects a leader and commits entries, a leader only counts replicas of
/// entries of its own term, and the first entry of a term is empty. Pre-votes
/// keep a member that was partitioned from disrupting the group when it
/// returns, and a leader that loses contact with a majority steps down.
///
/// **Members.** A member is identified by the identity of its disk. An empty
/// disk gets a new identity, so a node that has lost its disk can't vote on
/// the basis of entries and votes that it no longer has. The membership is a
/// log entry and takes effect when it is appended. It changes by one member at
/// a time, after the previous change is committed and the leader has committed
/// an entry of its own term. Learners receive the log without being members,
/// so that they can become members at once.
///
/// **Snapshots.** A state may refer to earlier entries. A member that lags too
/// far behind receives the state first and then every entry that the state
/// refers to; until it has all of them, it doesn't stand for election.
///
/// **Reads.** No leader lease is used, since a suspended process can't measure
/// how much time has passed. A read is answered after a majority has
/// acknowledged a heartbeat round that began after the read arrived.
///
/// The class owns no clock, socket or disk. Its owner calls a handler, sends
/// takeImmediateMessages(), syncs the journal, calls onSynced() and sends
/// takeMessages().

#ifndef PSP_CONSENSUS_GROUP_H
#define PSP_CONSENSUS_GROUP_H

#include "base/RecordSink.h"
#include "base/Time.h"
#include "consensus/GroupLog.h"
#include "consensus/StateMachine.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace psp::consensus {

struct GroupOptions {
  /// Number of the group among the groups of its kind.
  std::uint32_t m_Number = 0;
  /// A member without a leader starts an election after one to two of these
  /// periods. Four heartbeat intervals, and longer than the 200 ms after which
  /// a lost packet is retransmitted.
  base::Duration m_ElectionTimeout = base::milliseconds(400);
  base::Duration m_HeartbeatInterval = base::milliseconds(100);
  /// Replaces the election timeout until a member that has just started has
  /// received a message from a leader. An existing leader sends one within this
  /// time, and if all members have started at once there is none to wait for.
  base::Duration m_InitialElectionTimeout = base::milliseconds(150);
  /// A leader that transfers its leadership rejects new commands for this long.
  /// Its successor would lack them and get no votes. Covers a few round trips
  /// and syncs.
  base::Duration m_TransferPause = base::milliseconds(150);
  /// Entries that are not acknowledged within this time are sent again. Links
  /// preserve the order, and a member that lacks entries rejects the next
  /// heartbeat, so this only covers lost replies.
  base::Duration m_ResendInterval = base::milliseconds(1500);
  /// Minimum time between two snapshots for the same member.
  base::Duration m_SnapshotResendInterval = base::milliseconds(1000);
  /// A message gets no further entries once it holds this many bytes of them.
  std::uint64_t m_MaxBatchBytes = 128U << 10U;
  /// Bytes of entries that may be in flight to one member without a reply. A
  /// member that is catching up may hold them in memory twice.
  std::uint64_t m_MaxInFlightBytes = 256U << 10U;
  /// Announces each commit to the followers at once, for groups in which other
  /// nodes wait until their followers have applied it.
  bool m_AnnounceCommits = true;
  /// Up to this many bytes of the newest entries stay in memory; older entries
  /// are read from the journal.
  std::uint64_t m_MaxCachedBytes = 1U << 20U;
  /// A snapshot is written after this many bytes of entries, or after twice the
  /// length of the last snapshot if that is more. Limits how many entries a
  /// restart has to apply.
  std::uint64_t m_SnapshotThresholdBytes = 1U << 20U;
  std::uint64_t m_Seed = 0;
};

enum class GroupRole { Follower, Candidate, Leader };

std::string_view roleName(GroupRole Role);

class Group {
public:
  using Message = messages::fleet::GroupMessage;
  using Member = messages::fleet::GroupMember;
  using Membership = messages::fleet::GroupMembership;

  Group(GroupOptions Options, base::RecordStore &Store, StateMachine &Machine);

  /// Takes the journal's records of this group, oldest first, before start().
  void restore(std::uint64_t Sequence, GroupLog::Record Content);
  /// \p Identity: of this node's disk. Applies the entries that the journal
  /// records as committed. Otherwise a leader would have to apply them after a
  /// power failure before it can answer its first request.
  void start(const std::string &Identity, const base::Now &Now);

  /// Writes the initial membership as the first entry. Does nothing if this
  /// member already has a term, entries or a snapshot.
  void bootstrap(const Membership &InitialMembers, const base::Now &Now);

  void onMessage(const Message &Received, const base::Now &Now);
  void onTimer(const base::Now &Now);
  base::TimePoint nextTimer() const;
  /// Called when everything appended to the journal so far is durable.
  void onSynced(const base::Now &Now);

  /// Appends \p Command and returns its index, or nothing if this member isn't
  /// the leader or is transferring its leadership.
  std::optional<std::uint64_t> propose(const std::string &Command,
                                       const base::Now &Now);
  /// Begins a read and returns its ticket, or nothing if this member can't
  /// serve reads.
  std::optional<std::uint64_t> beginRead(const base::Now &Now);
  /// Returns the tickets of reads that may be answered from the current state.
  /// Reads that are still pending when the leadership is lost fail: they are
  /// never returned here.
  std::vector<std::uint64_t> takeReadyReads();

  /// Proposes \p Next, which differs by one member. Returns false if this
  /// member can't propose a change now.
  bool changeMembership(const Membership &Next, const base::Now &Now);
  /// Writes a snapshot immediately, so that the journal can drop old records.
  void writeSnapshot();
  /// Discards everything except term and vote. Called when this node is no
  /// longer a member.
  void leave(base::TimePoint Now);
  /// Sets the nodes that receive the log without being members, as long as this
  /// member leads.
  void setLearners(const std::set<std::string> &Identities);
  /// Transfers the leadership to one of the members with the longest replicated
  /// log.
  void transferLeadership(const base::Now &Now);

  /// Returns the messages that may be sent before the journal is synced.
  std::vector<Message> takeImmediateMessages(const base::Now &Now);
  /// Returns the messages that may only be sent after the journal was synced.
  std::vector<Message> takeMessages();

  bool isLeader() const { return m_Role == GroupRole::Leader; }
  /// True for a leader that has committed an entry of its own term and isn't
  /// transferring its leadership.
  bool isEstablishedLeader() const;
  /// True once this member has applied everything that was committed at some
  /// point after its start. Until then its state may be older than a state that
  /// other nodes have already observed.
  bool isCurrent() const { return m_IsCurrent; }
  GroupRole role() const { return m_Role; }
  const std::string &leader() const { return m_Leader; }
  const std::string &identity() const { return m_Identity; }
  std::uint64_t term() const { return m_Log.term(); }
  std::uint64_t commitIndex() const { return m_CommitIndex; }
  std::uint64_t lastIndex() const { return m_Log.lastIndex(); }
  const Membership &membership() const { return m_Log.membership(); }
  const Membership &committedMembership() const {
    return m_Log.membershipAt(m_CommitIndex);
  }
  /// Index of the newest membership, committed or not.
  std::uint64_t membershipIndex() const { return m_Log.membershipIndex(); }
  /// Reads the command at \p Index, which the state refers to. Throws
  /// UserError(Internal) if it is damaged on this disk.
  std::string commandAt(std::uint64_t Index) const {
    return m_Log.read(Index).command();
  }
  /// Sequences of the oldest journal record that is needed now, and of the
  /// oldest one that would be needed after a snapshot.
  std::uint64_t oldestNeededRecord() const {
    return m_Log.oldestNeededRecord();
  }
  std::uint64_t oldestNeededRecordAfterSnapshot() const;
  /// When this member last received a message from a leader.
  std::optional<base::TimePoint> lastReceivedFromLeaderAt() const {
    return m_LastReceivedFromLeaderAt;
  }
  bool isMember() const { return isMember(identity()); }
  bool hasState() const { return m_Log.lastIndex() > 0 || m_CommitIndex > 0; }
  /// Whether \p Identity holds all committed entries but the last few.
  bool isCaughtUp(const std::string &Identity) const;
  /// When this leader last received a reply from \p Identity. For a member it
  /// is at first the time at which the leader was elected.
  std::optional<base::TimePoint>
  lastReceivedAt(const std::string &Identity) const;

private:
  struct Progress {
    std::uint64_t m_Next = 1;
    std::uint64_t m_Match = 0;
    /// Last entry that a new leader assumes the peer to hold until the first
    /// reply. Otherwise it would send its complete log.
    std::uint64_t m_AssumedMatch = 0;
    std::uint64_t m_Round = 0;

    std::uint64_t heldIndex() const {
      return std::max(m_Match, m_AssumedMatch);
    }
    std::uint64_t m_SentBytes = 0; ///< Of entries without a reply.
    std::optional<base::TimePoint> m_LastReceivedAt;
    base::TimePoint m_SentAt;
    base::TimePoint m_SnapshotAt;
  };
  struct ReadRequest {
    std::uint64_t m_Ticket = 0;
    std::uint64_t m_Round = 0;
    std::uint64_t m_Index = 0;
  };

  // Elections, in GroupElection.cpp.
  void scheduleElection(base::TimePoint Now);
  void adoptTerm(std::uint64_t Term, base::TimePoint Now);
  void startPreVote(base::TimePoint Now);
  void startElection(bool Transfer, base::TimePoint Now);
  void requestVotes(bool PreVote, bool Transfer);
  void countVotes(base::TimePoint Now, std::uint64_t WallMs);
  void becomeLeader(base::TimePoint Now, std::uint64_t WallMs);
  void stepDown(base::TimePoint Now);
  void onVoteRequest(const Message &Received, base::TimePoint Now);
  void onVoteReply(const Message &Received, base::TimePoint Now,
                   std::uint64_t WallMs);
  bool isUpToDate(std::uint64_t Index, std::uint64_t Term) const;
  bool hasLeaderContact(base::TimePoint Now) const;
  bool hasMajorityContact(base::TimePoint Now) const;

  // Replication, in GroupReplication.cpp.
  void sendAppend(const std::string &To, base::TimePoint Now);
  void sendSnapshot(const std::string &To);
  messages::fleet::GroupSnapshot makeSnapshot() const;
  std::uint64_t bytesInFlight(const Progress &Peer) const;
  void sendNewEntries(base::TimePoint Now);
  void broadcast(base::TimePoint Now);
  void onAppend(const Message &Received, base::TimePoint Now);
  void onAppendReply(const Message &Received, base::TimePoint Now);
  void onSnapshot(const Message &Received, base::TimePoint Now);
  void acceptLeader(const Message &Received, base::TimePoint Now);
  void advanceCommit(base::TimePoint Now);
  Progress &progressOf(const std::string &Identity);
  void applyUpTo(std::uint64_t Index);
  void apply(std::uint64_t Index);
  void applyEntry(const messages::fleet::GroupEntry &Entry);
  std::uint64_t snapshotBase() const;
  void advanceReads();
  void compactIfNeeded();
  std::uint64_t appendEntry(messages::fleet::GroupEntry Entry,
                            std::uint64_t WallMs);
  std::set<std::string> receivers() const;

  // The rest, in Group.cpp.
  bool isMember(const std::string &Identity) const;
  std::size_t majority() const;
  Message &send(const std::string &To, bool Immediate = false);

  GroupOptions m_Options;
  StateMachine &m_Machine;
  GroupLog m_Log;
  std::string m_Identity;
  std::mt19937_64 m_Random;

  GroupRole m_Role = GroupRole::Follower;
  std::string m_Leader;
  std::optional<base::TimePoint> m_LastReceivedFromLeaderAt;
  bool m_HasSeenLeader = false; ///< Or has been the leader.
  bool m_IsCurrent = false;
  std::optional<base::TimePoint> m_TransferUntil;
  base::TimePoint m_ElectionAt;
  base::TimePoint m_HeartbeatAt;
  std::uint64_t m_CommitIndex = 0;
  std::uint64_t m_AppliedIndex = 0;
  std::uint64_t m_SyncedIndex = 0; ///< Last durable index on this disk.
  std::set<std::string> m_PreVotes;
  std::set<std::string> m_Votes;
  bool m_OwnVoteSynced = false;

  std::uint64_t m_TermStartIndex = 0; ///< Index of the leader's first entry.
  std::uint64_t m_Round = 0;
  std::map<std::string, Progress> m_Progress;
  std::set<std::string> m_Learners;
  std::vector<ReadRequest> m_Reads;
  std::uint64_t m_NextReadTicket = 1;
  std::vector<std::uint64_t> m_ReadyReads;

  std::vector<Message> m_ImmediateMessages;
  std::vector<Message> m_Outbox;
  std::uint64_t m_SnapshotBytes = 0; ///< Length of the last snapshot.
};

} // namespace psp::consensus

#endif
