#include "limits/LeaseVoter.h"

#include "limits/LimitOptions.h"

#include <algorithm>

namespace psp::limits {

LeaseVoter::LeaseVoter(std::uint32_t Shards, base::Duration Lease,
                       double ClockDrift, base::TimePoint Start)
    : m_Lease(Lease), m_SilentUntil(Start + lengthened(Lease, ClockDrift)),
      m_Promises(Shards) {
  for (Promise &Each : m_Promises)
    Each.m_Until = Start;
}

messages::LeaseReply LeaseVoter::onAsk(const base::InstanceId &From,
                                       const messages::LeaseAsk &Ask,
                                       base::TimePoint Now) {
  messages::LeaseReply Reply;
  Reply.set_shard(Ask.shard());
  Reply.set_number(Ask.number());
  if (Now < m_SilentUntil || Ask.shard() >= m_Promises.size())
    return Reply;
  Promise &Current = m_Promises[Ask.shard()];
  const bool Same =
      Current.m_Holder == From && Current.m_Incarnation == Ask.incarnation();
  if (Now < Current.m_Until && !Same) {
    Reply.set_holder(Current.m_Holder.str());
    Reply.set_remaining_us(
        static_cast<std::uint64_t>((Current.m_Until - Now).count()));
    return Reply;
  }
  const std::uint64_t Number =
      Same ? std::max(Current.m_Number, Ask.number()) : Ask.number();
  Current = {.m_Holder = From,
             .m_Incarnation = Ask.incarnation(),
             .m_Number = Number,
             .m_Until = Now + m_Lease};
  Reply.set_granted(true);
  return Reply;
}

void LeaseVoter::onRelease(const base::InstanceId &From,
                           const messages::LeaseRelease &Release) {
  if (Release.shard() >= m_Promises.size())
    return;
  Promise &Current = m_Promises[Release.shard()];
  // A release that was overtaken by a newer ask of the same process is void.
  if (Current.m_Holder == From &&
      Current.m_Incarnation == Release.incarnation() &&
      Current.m_Number <= Release.number())
    Current = {.m_Holder = {},
               .m_Incarnation = 0,
               .m_Number = 0,
               .m_Until = base::TimePoint::min()};
}

std::optional<KnownHolder> LeaseVoter::holder(std::uint32_t Shard,
                                              base::TimePoint Now) const {
  const Promise &Current = m_Promises.at(Shard);
  if (Current.m_Holder.empty() || Now >= Current.m_Until)
    return std::nullopt;
  return KnownHolder{.m_Instance = Current.m_Holder,
                     .m_Until = Current.m_Until};
}

} // namespace psp::limits
