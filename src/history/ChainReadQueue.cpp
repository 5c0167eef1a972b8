#include "history/ChainReadQueue.h"

#include <algorithm>
#include <utility>

namespace psp::history {

bool ChainReadQueue::add(ChainRead Read) {
  const messages::fleet::ReadChain &Wanted = Read.m_Request.read_chain();
  const auto SameReader =
      std::ranges::find_if(m_Waiting, [&](const ChainRead &Waiting) {
        const messages::fleet::ReadChain &Other =
            Waiting.m_Request.read_chain();
        return Other.reader() == Wanted.reader() &&
               Other.organisation() == Wanted.organisation() &&
               Other.turn() == Wanted.turn();
      });
  if (SameReader != m_Waiting.end()) {
    *SameReader = std::move(Read);
    return true;
  }
  if (m_Waiting.size() >= m_Options.m_MaxWaiting)
    return false;
  m_Waiting.push_back(std::move(Read));
  return true;
}

std::optional<ChainRead> ChainReadQueue::takeNext(std::size_t UnsentBytes,
                                                  base::TimePoint Now) {
  std::erase_if(m_Waiting, [&](const ChainRead &Waiting) {
    return Now - Waiting.m_ReceivedAt > m_Options.m_MaxWait;
  });
  if (m_Waiting.empty() || UnsentBytes > m_Options.m_MaxUnsentBytes)
    return std::nullopt;
  ChainRead Next = std::move(m_Waiting.front());
  m_Waiting.pop_front();
  return Next;
}

} // namespace psp::history
