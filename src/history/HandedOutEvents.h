/// \file
/// The events of a stream that its caller has, from the records of the attempts
/// that handed them out.

#ifndef PSP_HISTORY_HANDEDOUTEVENTS_H
#define PSP_HISTORY_HANDEDOUTEVENTS_H

#include "generated/fleet.pb.h"
#include "history/ChainTexts.h"
#include "turns/StreamAttempts.h"

#include <optional>
#include <string>
#include <vector>

namespace psp::history {

struct HandedOutEvents {
  std::string m_Text; ///< The data of each event, followed by a line feed.
  std::vector<messages::fleet::EventMark> m_Marks; ///< Of each event.
};

/// The events of \p Ended up to the one with the identifier \p UpTo; empty
/// unless exactly one event has that identifier.
std::optional<HandedOutEvents> eventsUpTo(const messages::fleet::EndTurn &Ended,
                                          const std::string &UpTo);

/// The same from all entries of \p Recorded in \p Source; empty if none has the
/// event, or if two have different texts up to it. Throws as
/// EntrySource::commandAt() does.
std::optional<HandedOutEvents>
readHandedOutEvents(const EntrySource &Source,
                    const turns::RecordedEvents &Recorded,
                    const std::string &UpTo);

} // namespace psp::history

#endif
