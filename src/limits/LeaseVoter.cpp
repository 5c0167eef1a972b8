#include "limits/LeaseVoter.h"

#include "limits/LimitOptions.h"

#include <algorithm>

namespace psp::limits {

LeaseVoter::LeaseVoter(std::uint32_t Shards, base::Duration LeaseDuration,
                       double ClockDrift, base::TimePoint Start)
    : m_LeaseDuration(LeaseDuration),
      m_NoGrantsBefore(Start + lengthenedForDrift(LeaseDuration, ClockDrift)),
      m_Grants(Shards) {
  for (Grant &Initial : m_Grants)
    Initial.m_ExpiresAt = Start;
}

messages::LeaseReply LeaseVoter::onRequest(const base::InstanceId &From,
                                           const messages::LeaseAsk &Request,
                                           base::TimePoint Now) {
  messages::LeaseReply Reply;
  Reply.set_shard(Request.shard());
  Reply.set_number(Request.number());
  if (Now < m_NoGrantsBefore || Request.shard() >= m_Grants.size())
    return Reply;
  Grant &Current = m_Grants[Request.shard()];
  const bool SameHolder = Current.m_Holder == From &&
                          Current.m_Incarnation == Request.incarnation();
  if (Now < Current.m_ExpiresAt && !SameHolder) {
    Reply.set_holder(Current.m_Holder.str());
    Reply.set_remaining_us(
        static_cast<std::uint64_t>((Current.m_ExpiresAt - Now).count()));
    return Reply;
  }
  const std::uint64_t RoundNumber =
      SameHolder ? std::max(Current.m_RoundNumber, Request.number())
                 : Request.number();
  Current = {.m_Holder = From,
             .m_Incarnation = Request.incarnation(),
             .m_RoundNumber = RoundNumber,
             .m_ExpiresAt = Now + m_LeaseDuration};
  Reply.set_granted(true);
  return Reply;
}

void LeaseVoter::onRelease(const base::InstanceId &From,
                           const messages::LeaseRelease &Release) {
  if (Release.shard() >= m_Grants.size())
    return;
  Grant &Current = m_Grants[Release.shard()];
  // A release has no effect when a newer request of the same process arrived
  // before it.
  if (Current.m_Holder == From &&
      Current.m_Incarnation == Release.incarnation() &&
      Current.m_RoundNumber <= Release.number())
    Current = {.m_Holder = {},
               .m_Incarnation = 0,
               .m_RoundNumber = 0,
               .m_ExpiresAt = base::TimePoint::min()};
}

std::optional<LeaseRecord> LeaseVoter::holder(std::uint32_t Shard,
                                              base::TimePoint Now) const {
  const Grant &Current = m_Grants.at(Shard);
  if (Current.m_Holder.empty() || Now >= Current.m_ExpiresAt)
    return std::nullopt;
  return LeaseRecord{.m_Holder = Current.m_Holder,
                     .m_ExpiresAt = Current.m_ExpiresAt};
}

} // namespace psp::limits
