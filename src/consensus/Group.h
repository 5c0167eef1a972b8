/// \file
/// One member of a replicated group whose members change while it runs.
///
/// The protocol is that of Raft: terms fence, a majority of the members elects
/// and commits, a leader counts only entries of its own term, and the first
/// entry of a term is empty. Trial votes keep a member that was cut off from
/// disturbing on its return, and a leader without a majority steps down.
///
/// **Members.** A member is known by the identity of its disk, which is new
/// with each empty one, so nobody votes on what another disk has forgotten.
/// The membership is an entry of the log, in force from its append on, and
/// changes by one member at a time after the change before is committed and
/// the leader has committed an entry of its own term. Nodes that are no
/// members receive the log, so that they can take a place at once.
///
/// **Snapshots.** A state may refer to earlier entries. A member that lacks too
/// much gets the state first and then every entry that it refers to; until it
/// has them all it doesn't stand for election.
///
/// **Reads.** No lease is used, since a suspended process doesn't see time
/// pass. A read is answered after a majority has followed a round that began
/// after the read came in.
///
/// The class owns no clock, socket or disk. The shell calls a handler, sends
/// takeEarly(), syncs the journal, calls onSynced() and sends takeMessages().

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
  /// Which of the groups of its kind this is.
  std::uint32_t m_Number = 0;
  /// Elections begin after one to two of these without a leader. Four
  /// heartbeats, and above a resent packet of 200 ms.
  base::Duration m_ElectionTimeout = base::milliseconds(400);
  base::Duration m_HeartbeatInterval = base::milliseconds(100);
  /// Until a member that has just started hears a leader, its elections begin
  /// after one to two of these: a leader that is there makes itself heard in
  /// this time, and if all have started at once there is none to wait for.
  base::Duration m_StartTimeout = base::milliseconds(150);
  /// A leader that hands over takes nothing new for this long, since its
  /// successor would lack it and get no votes: a few round trips and syncs.
  base::Duration m_HandOverPause = base::milliseconds(150);
  /// Entries that are not acknowledged after this are sent again. Links keep
  /// the order, and a member that lacks some refuses the next heartbeat, so
  /// this is for answers that were lost only.
  base::Duration m_ResendInterval = base::milliseconds(1500);
  /// A snapshot is sent again to one member after this at the earliest.
  base::Duration m_SnapshotInterval = base::milliseconds(1000);
  /// Longest batch of entries in one message, in bytes.
  std::uint64_t m_BatchBytes = 128U << 10U;
  /// Entries on their way to one member without an answer, in bytes: what a
  /// member that catches up may hold in memory twice.
  std::uint64_t m_WindowBytes = 256U << 10U;
  /// Tells followers of each commit at once, where others wait for them.
  bool m_AnnounceCommits = true;
  /// The newest entries stay in memory up to this many bytes; others are read
  /// from the journal.
  std::uint64_t m_MemoryBytes = 1U << 20U;
  /// A snapshot is written after this many bytes of entries, and after twice
  /// its own length if that is more: what a restart has to apply.
  std::uint64_t m_CompactBytes = 1U << 20U;
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
  void restore(std::uint64_t Sequence, GroupLog::Record Known);
  /// \p Identity: of this machine's disk. Applies what the journal knows as
  /// committed: after a power cut a leader would otherwise do so before it
  /// answers anybody.
  void start(const std::string &Identity, const base::Now &Now);

  /// Founds the group. Ignored unless nothing was ever received.
  void found(const Membership &Founders, const base::Now &Now);

  void onMessage(const Message &Received, const base::Now &Now);
  void onTimer(const base::Now &Now);
  base::TimePoint nextTimer() const;
  /// Everything appended to the journal so far lasts.
  void onSynced(const base::Now &Now);

  /// The index at which \p Command is going to be, or nothing if this member
  /// doesn't lead.
  std::optional<std::uint64_t> propose(const std::string &Command,
                                       const base::Now &Now);
  /// Begins a read. Nothing if this member can't answer reads.
  std::optional<std::uint64_t> beginRead(const base::Now &Now);
  /// Reads that may be answered from the state now. A read that is in neither
  /// this list nor pending after a loss of leadership has failed.
  std::vector<std::uint64_t> takeReads();

  /// Proposes \p Next, which differs by one member. False if it can't now.
  bool changeMembership(const Membership &Next, const base::Now &Now);
  /// Writes a snapshot now, so that the journal can drop old records.
  void writeSnapshot();
  /// Forgets everything but term and vote: this machine is no member any more.
  void leave(base::TimePoint Now);
  /// Nodes that receive the log without being members, while leading.
  void setLearners(const std::set<std::string> &Identities);
  /// Hands leadership to the member that follows best.
  void handOver(const base::Now &Now);

  /// Messages that need no sync before they leave.
  std::vector<Message> takeEarly(const base::Now &Now);
  std::vector<Message> takeMessages();

  bool isLeader() const { return m_Role == GroupRole::Leader; }
  /// Leads, has committed an entry of its own term, and isn't handing over.
  bool isSettledLeader() const;
  /// Has applied, since its start, all that was committed at some moment after
  /// it. Before that the state may be older than what others have seen.
  bool isCurrent() const { return m_IsCurrent; }
  GroupRole role() const { return m_Role; }
  const std::string &leader() const { return m_Leader; }
  const std::string &identity() const { return m_Identity; }
  std::uint64_t term() const { return m_Log.term(); }
  std::uint64_t commitIndex() const { return m_Commit; }
  std::uint64_t lastIndex() const { return m_Log.lastIndex(); }
  const Membership &membership() const { return m_Log.membership(); }
  const Membership &committedMembership() const {
    return m_Log.membershipAt(m_Commit);
  }
  /// Index of the newest membership, committed or not.
  std::uint64_t membershipIndex() const { return m_Log.membershipIndex(); }
  /// The command at \p Index, which the state refers to. Throws
  /// UserError(Internal) when it is damaged on this disk.
  std::string commandAt(std::uint64_t Index) const {
    return m_Log.read(Index).command();
  }
  /// Sequence of the oldest journal record that is needed, and the one that a
  /// snapshot taken now would need.
  std::uint64_t oldestNeeded() const { return m_Log.oldestNeeded(); }
  std::uint64_t oldestNeededAfterSnapshot() const;
  /// When this member last heard a leader.
  std::optional<base::TimePoint> heardLeaderAt() const { return m_HeardLeader; }
  bool isMember() const { return isMember(identity()); }
  bool hasHistory() const { return m_Log.lastIndex() > 0 || m_Commit > 0; }
  /// Whether \p Identity holds everything but the last few entries.
  bool isCaughtUp(const std::string &Identity) const;
  /// When \p Identity was last heard, while leading.
  std::optional<base::TimePoint> lastHeard(const std::string &Identity) const;

private:
  struct Progress {
    std::uint64_t m_Next = 1;
    std::uint64_t m_Match = 0;
    /// Entries that a new leader takes as held until the first answer, since
    /// it would send its whole log otherwise.
    std::uint64_t m_Assumed = 0;
    std::uint64_t m_Round = 0;

    std::uint64_t held() const { return std::max(m_Match, m_Assumed); }
    std::uint64_t m_SentBytes = 0; ///< Of entries without an answer.
    std::optional<base::TimePoint> m_Heard;
    base::TimePoint m_SentAt;
    base::TimePoint m_SnapshotAt;
  };
  struct Read {
    std::uint64_t m_Ticket = 0;
    std::uint64_t m_Round = 0;
    std::uint64_t m_Index = 0;
  };

  // Elections, in GroupElection.cpp.
  void scheduleElection(base::TimePoint Now);
  void adoptTerm(std::uint64_t Term, base::TimePoint Now);
  void startTrial(base::TimePoint Now);
  void startElection(bool Handover, base::TimePoint Now);
  void askVotes(bool Trial, bool Handover);
  void countVotes(base::TimePoint Now, std::uint64_t WallMs);
  void becomeLeader(base::TimePoint Now, std::uint64_t WallMs);
  void stepDown(base::TimePoint Now);
  void onVoteRequest(const Message &Received, base::TimePoint Now);
  void onVoteReply(const Message &Received, base::TimePoint Now,
                   std::uint64_t WallMs);
  bool isUpToDate(std::uint64_t Index, std::uint64_t Term) const;
  bool hearsLeader(base::TimePoint Now) const;
  bool hearsMajority(base::TimePoint Now) const;

  // Replication, in GroupReplication.cpp.
  void sendAppend(const std::string &To, base::TimePoint Now);
  void sendSnapshot(const std::string &To);
  messages::fleet::GroupSnapshot makeSnapshot() const;
  std::uint64_t bytesOnTheWay(const Progress &Peer) const;
  void sendNews(base::TimePoint Now);
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
  void compactIfLong();
  std::uint64_t appendOwn(messages::fleet::GroupEntry Entry,
                          std::uint64_t WallMs);
  std::set<std::string> receivers() const;

  // The rest, in Group.cpp.
  bool isMember(const std::string &Identity) const;
  std::size_t majority() const;
  Message &send(const std::string &To, bool Early = false);

  GroupOptions m_Options;
  StateMachine &m_Machine;
  GroupLog m_Log;
  std::string m_Identity;
  std::mt19937_64 m_Random;

  GroupRole m_Role = GroupRole::Follower;
  std::string m_Leader;
  std::optional<base::TimePoint> m_HeardLeader;
  bool m_HeardSinceStart = false; ///< From a leader, or has led itself.
  bool m_IsCurrent = false;
  std::optional<base::TimePoint> m_HandingOverUntil;
  base::TimePoint m_ElectionAt;
  base::TimePoint m_HeartbeatAt;
  std::uint64_t m_Commit = 0;
  std::uint64_t m_Applied = 0;
  std::uint64_t m_Synced = 0; ///< Last index that lasts on this disk.
  std::set<std::string> m_TrialVotes;
  std::set<std::string> m_Votes;
  bool m_OwnVoteSynced = false;

  std::uint64_t m_TermStart = 0; ///< Index of the leader's first entry.
  std::uint64_t m_Round = 0;
  std::map<std::string, Progress> m_Progress;
  std::set<std::string> m_Learners;
  std::vector<Read> m_Reads;
  std::uint64_t m_NextRead = 1;
  std::vector<std::uint64_t> m_ReadyReads;

  std::vector<Message> m_Early;
  std::vector<Message> m_Outbox;
  std::uint64_t m_SnapshotBytes = 0; ///< Of the last one.
};

} // namespace psp::consensus

#endif
