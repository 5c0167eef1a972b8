/// \file
/// Requests that endpoints free the memory of ended programs, and retries until
/// each endpoint has confirmed or has left.

#ifndef PSP_ENTRY_MEMORYRELEASES_H
#define PSP_ENTRY_MEMORYRELEASES_H

#include "base/Ids.h"
#include "base/Time.h"
#include "messages/EndpointMessages.h"
#include "schedule/EndpointRegistry.h"

#include <unordered_map>
#include <vector>

namespace psp::entry {

class MemoryReleases {
public:
  /// Exchange numbers are allocated from \p NextExchange.
  MemoryReleases(const schedule::EndpointRegistry &Endpoints,
                 messages::ExchangeNumber &NextExchange);

  void add(const base::ProgramId &Program,
           const std::vector<base::EndpointId> &Endpoints, base::TimePoint Now);
  /// Returns true when \p Event belongs to a release.
  bool onEvent(const messages::EndpointEvent &Event, base::TimePoint Now);
  void onTick(base::TimePoint Now);
  std::vector<messages::EndpointCommand> takeCommands();
  /// Programs for which no endpoint holds memory any more.
  std::vector<base::ProgramId> takeFreed();

  std::size_t waiting() const { return m_Waiting.size() + m_Sent.size(); }

private:
  struct Release {
    base::ProgramId m_Program;
    base::EndpointId m_Endpoint;
    base::TimePoint m_NextTry;
    unsigned m_Status = 0;
  };

  void send(Release Next);
  void completeOne(const base::ProgramId &Program);
  void settle(messages::ExchangeNumber Exchange, bool Complete,
              base::TimePoint Now);

  const schedule::EndpointRegistry &m_Endpoints;
  messages::ExchangeNumber &m_NextExchange;
  /// Number of releases not yet confirmed, by program.
  std::unordered_map<base::ProgramId, std::size_t> m_Remaining;
  std::vector<base::ProgramId> m_Freed;
  std::vector<Release> m_Waiting;
  std::unordered_map<messages::ExchangeNumber, Release> m_Sent;
  std::vector<messages::EndpointCommand> m_Commands;
};

} // namespace psp::entry

#endif
