#include "gateway/SlowTransfers.h"

#include <utility>
#include <vector>

namespace psp::gateway {

std::uint64_t SlowTransfers::add(StallLimits Limits, base::TimePoint Now,
                                 std::function<void()> End) {
  m_Transfers[++m_LastId] = {.m_Limits = Limits,
                             .m_StartedAt = Now,
                             .m_ProgressAt = Now,
                             .m_Bytes = 0,
                             .m_End = std::move(End)};
  return m_LastId;
}

void SlowTransfers::onProgress(std::uint64_t Id, std::uint64_t Bytes,
                               base::TimePoint Now) {
  const auto It = m_Transfers.find(Id);
  if (It == m_Transfers.end() || Bytes == 0)
    return;
  It->second.m_ProgressAt = Now;
  It->second.m_Bytes += Bytes;
}

bool SlowTransfers::isTooSlow(const Transfer &Seen, bool Scarce,
                              base::TimePoint Now) const {
  const base::Duration Stalled = Now - Seen.m_ProgressAt;
  if (!Scarce)
    return Stalled >= Seen.m_Limits.m_Usual;
  const base::Duration Age = Now - Seen.m_StartedAt;
  const double Seconds = std::chrono::duration<double>(Age).count();
  return Stalled >= Seen.m_Limits.m_Scarce ||
         (Age >= m_Options.m_ScarceGraceTime &&
          static_cast<double>(Seen.m_Bytes) <
              Seconds * static_cast<double>(m_Options.m_ScarceBytesPerSecond));
}

std::size_t SlowTransfers::check(bool Scarce, base::TimePoint Now) {
  const bool WasSuspended =
      Now - std::exchange(m_CheckedAt, Now) > m_Options.m_MaxCheckGap;
  // The ends are called last, since they may change the table.
  std::vector<std::function<void()>> Ends;
  for (auto It = m_Transfers.begin(); It != m_Transfers.end();) {
    Transfer &Seen = It->second;
    if (WasSuspended)
      Seen = {.m_Limits = Seen.m_Limits,
              .m_StartedAt = Now,
              .m_ProgressAt = Now,
              .m_Bytes = 0,
              .m_End = std::move(Seen.m_End)};
    if (isTooSlow(Seen, Scarce, Now)) {
      Ends.push_back(std::move(Seen.m_End));
      It = m_Transfers.erase(It);
    } else {
      ++It;
    }
  }
  for (const auto &End : Ends)
    End();
  return Ends.size();
}

} // namespace psp::gateway
