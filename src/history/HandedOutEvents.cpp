#include "history/HandedOutEvents.h"

#include "messages/Parse.h"

#include <cstdint>
#include <utility>

namespace psp::history {

std::optional<HandedOutEvents> eventsUpTo(const messages::fleet::EndTurn &Ended,
                                          const std::string &UpTo) {
  std::uint64_t AllBytes = 0;
  std::uint64_t Bytes = 0; // Up to the event.
  int Count = 0;           // The same.
  bool Ambiguous = false;
  for (int Index = 0; Index < Ended.events_size(); ++Index) {
    const messages::fleet::EventMark &Mark = Ended.events(Index);
    AllBytes += Mark.bytes();
    // A caller names the last identifier that it has seen, so an event without
    // one hides whether the caller has it.
    Ambiguous = Ambiguous ||
                (Count > 0 &&
                 (Mark.id() == UpTo || (Mark.id().empty() && Count == Index)));
    if (Count > 0 || Mark.id() != UpTo)
      continue;
    Count = Index + 1;
    Bytes = AllBytes;
  }
  if (Count == 0 || Ambiguous || AllBytes > Ended.text().size())
    return std::nullopt;
  HandedOutEvents Found;
  Found.m_Text = Ended.text().substr(Ended.text().size() - AllBytes, Bytes);
  Found.m_Marks.assign(Ended.events().begin(), Ended.events().begin() + Count);
  return Found;
}

std::optional<HandedOutEvents>
readHandedOutEvents(const EntrySource &Source,
                    const turns::RecordedEvents &Recorded,
                    const std::string &UpTo) {
  std::optional<HandedOutEvents> Result;
  for (const std::uint64_t Index : Recorded.m_EntryIndexes) {
    const auto Command =
        messages::parseMessage<messages::fleet::HistoryCommand>(
            Source.commandAt(Index), "history command");
    auto Found = eventsUpTo(Command.end(), UpTo);
    if (!Found)
      continue;
    if (Result && Result->m_Text != Found->m_Text)
      return std::nullopt;
    Result = std::move(Found);
  }
  return Result;
}

} // namespace psp::history
