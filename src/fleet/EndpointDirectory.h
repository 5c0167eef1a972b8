/// \file
/// The last known state of each endpoint, merged from announcements that may be
/// late, duplicated or reordered and arrive over several paths.

#ifndef PSP_FLEET_ENDPOINTDIRECTORY_H
#define PSP_FLEET_ENDPOINTDIRECTORY_H

#include "base/Time.h"
#include "fleet/EvacuatedDataCentres.h"
#include "generated/fleet.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::fleet {

using messages::fleet::EndpointState;

struct EndpointDirectoryOptions {
  /// An endpoint without announcements for this long is inactive: three
  /// announcement intervals.
  base::Duration m_InactivityTimeout = base::milliseconds(3600);
  /// An inactive or removed entry is deleted this long after its last update.
  /// Late announcements of a removed endpoint must still find the entry.
  base::Duration m_RetentionTime = base::seconds(60);
  /// A stated cold time that differs by less than this from the one that is
  /// known changes nothing: announcements take different times to arrive.
  base::Duration m_ColdTolerance = base::milliseconds(300);
  /// An endpoint counts as cold for this long after its cold time: the
  /// tolerance, and the time that a longer one takes to be told to others.
  base::Duration m_ColdMargin = base::milliseconds(600);
  /// An endpoint of a data centre that is taken back may have become cold since
  /// its last announcement, which is at most three intervals ago.
  base::Duration m_TakenBackColdTime = base::milliseconds(3600);
  /// A misdirected endpoint is tried again after this time: one that has ended
  /// is known to be silent by then.
  base::Duration m_MisdirectedTime = base::milliseconds(3600);
};

class EndpointDirectory {
public:
  explicit EndpointDirectory(EndpointDirectoryOptions Options = {})
      : m_Options(Options) {}

  /// Merges an update of one endpoint. Returns true if it changed anything that
  /// other nodes act on. \p Direct: the update came from the endpoint itself.
  bool merge(const EndpointState &Update, bool Direct, base::TimePoint Now);

  /// Marks the start of \p Id at \p StartTime as draining: it gets no new work,
  /// whatever it announces from now on. Returns true if this is a change.
  bool markDraining(const std::string &Id, std::uint64_t StartTime,
                    base::TimePoint Now);

  /// Marks an endpoint as removed for good, after it announced its departure or
  /// a later start of it became known. Returns true if this is a change.
  bool markRemoved(const std::string &Id, base::TimePoint Now);

  /// Marks the start of \p Id at \p StartTime as not usable for a while, after
  /// another endpoint answered at its address: until a later announcement of it
  /// arrives or reinstateMisdirected() finds the time over. Returns true if
  /// this is a change.
  bool markMisdirected(const std::string &Id, std::uint64_t StartTime,
                       base::TimePoint Now);

  /// Makes misdirected endpoints usable again whose time is over, but for those
  /// whose announcements have stopped. Repeated announcements aren't passed on
  /// to entry instances, so nothing else may tell them that a start still runs.
  void reinstateMisdirected(base::TimePoint Now);

  /// Marks endpoints whose announcements have stopped as inactive and returns
  /// those that are newly marked. Also deletes expired entries.
  std::vector<EndpointState> expire(base::TimePoint Now);

  /// Takes over which data centres get nothing new. Returns true if this is a
  /// change. The endpoints of one that is taken back count as cold until they
  /// announce themselves again.
  bool mergeEvacuations(const messages::fleet::ConfigurationUpdate &Update,
                        base::TimePoint Now);
  const EvacuatedDataCentres &evacuated() const { return m_Evacuated; }
  /// Whether an endpoint of \p Service, with the version \p Software unless
  /// that is empty, gets no work only because its data centre is evacuated.
  bool hasEvacuated(const std::string &Service,
                    const std::string &Software = {}) const;

  const EndpointState *find(const std::string &Id) const;
  /// Whether \p Id, started at \p StartTime, may be given work.
  bool isUsable(const std::string &Id, std::uint64_t StartTime) const;
  /// Whether an endpoint may be cold: true for as long as any was said to be.
  bool mayHaveCold(base::TimePoint Now) const {
    return Now < m_LastColdUntil + m_Options.m_ColdMargin;
  }
  /// Whether \p Id bears only a few requests for now.
  bool isCold(const std::string &Id, base::TimePoint Now) const;
  /// How much longer \p Id stays cold, without the margin; zero if it isn't.
  base::Duration coldTimeLeft(const std::string &Id, base::TimePoint Now) const;
  /// All endpoints, each with the cold time that it has left.
  std::vector<EndpointState> all(base::TimePoint Now) const;

  /// Calls \p Visit for each endpoint of \p Service that may be given work.
  template <typename Visitor>
  void forEachUsable(const std::string &Service, Visitor Visit) const {
    for (const auto &[Id, Entry] : m_Entries)
      if (Entry.m_State.service() == Service && isUsable(Entry))
        Visit(Entry.m_State);
  }

  /// Whether an endpoint of \p Service may be given work.
  bool hasUsable(const std::string &Service) const {
    bool Found = false;
    forEachUsable(Service, [&](const EndpointState &) { Found = true; });
    return Found;
  }

private:
  struct DirectoryEntry {
    EndpointState m_State;
    base::TimePoint m_UpdatedAt; ///< From any source.
    /// When the endpoint's cold time ends, by the clock of this process.
    base::TimePoint m_ColdUntil;
    bool m_Direct = false; ///< Ever updated by the endpoint itself.
    /// When another endpoint answered at its address; empty: usable.
    std::optional<base::TimePoint> m_MisdirectedAt = std::nullopt;
  };

  bool isUsable(const DirectoryEntry &Entry) const {
    return Entry.m_State.phase() == messages::fleet::PHASE_READY &&
           !Entry.m_MisdirectedAt &&
           !m_Evacuated.contains(Entry.m_State.data_centre());
  }

  /// Marks endpoints with the address of \p Update and an earlier start as
  /// removed: an address belongs to the endpoint that started there last.
  void markEarlierAtAddressRemoved(const EndpointState &Update);

  EndpointDirectoryOptions m_Options;
  std::map<std::string, DirectoryEntry> m_Entries;
  EvacuatedDataCentres m_Evacuated;
  base::TimePoint m_LastColdUntil; ///< The latest of all.
};

/// Adds to \p Result the endpoints that \p Wanted asks for.
void listEndpoints(const messages::fleet::FindEndpoints &Wanted,
                   const EndpointDirectory &Endpoints, base::TimePoint Now,
                   messages::fleet::Reply &Result);

} // namespace psp::fleet

#endif
