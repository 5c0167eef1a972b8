#include "history/SlotAllocator.h"

#include <utility>

namespace psp::history {

void SlotAllocator::offer(const Offer &Asked, base::TimePoint Now) {
  const auto &Begin = Asked.m_Request.begin();
  // Asked again: it has its place already.
  const bool Placed = m_Placement.isPlaced(Begin.turn());
  if (Placed) {
    m_Answers.push_back(grant(Asked, Now));
    return;
  }
  if (m_Admission.replace(Asked))
    return;
  if (m_Admission.decide(Asked, load()) ==
      turns::TurnAdmission::Decision::Begin)
    m_Answers.push_back(grant(Asked, Now));
}

void SlotAllocator::report(const messages::fleet::TurnReport &News,
                           base::TimePoint Now) {
  for (const std::string &Each : News.silent())
    m_Placement.avoid(Each, Now);
  m_Admission.observeGap(News.event_gap_us(), load());
  m_Placement.finish(News.turn(),
                     {.m_Endpoint = News.endpoint(),
                      .m_EventGapUs = News.event_gap_us(),
                      .m_Failed = News.failed()},
                     Now);
}

std::vector<SlotResponse> SlotAllocator::takeReady(base::TimePoint Now) {
  if (m_Admission.waiting() > 0) {
    const turns::TurnAdmission::Load Running = load();
    for (Offer &Each : m_Admission.takeReady(Running))
      m_Answers.push_back(grant(std::move(Each), Now));
    for (Offer &Each : m_Admission.takeRefused(Running.m_Slots, Now))
      m_Answers.push_back(refuse(std::move(Each), m_Admission.retryAfter()));
    for (Offer &Each : m_Admission.takeOverdue(Now))
      m_Answers.push_back(refuse(std::move(Each), base::Duration(0)));
  }
  return std::exchange(m_Answers, {});
}

turns::TurnAdmission::Load SlotAllocator::load() const {
  turns::TurnAdmission::Load Sum;
  m_Endpoints.forEachUsable(m_Service, [&](const fleet::EndpointState &Each) {
    Sum.m_Slots += Each.slots();
    Sum.m_Running += m_Placement.runningOn(Each.id());
  });
  return Sum;
}

SlotResponse SlotAllocator::grant(Offer Asked, base::TimePoint Now) {
  SlotResponse Answer{.m_Offer = std::move(Asked), .m_Reply = {}};
  const auto &Request = Answer.m_Offer.m_Request;
  Answer.m_Reply.set_id(Request.id());
  Answer.m_Reply.set_kind(messages::fleet::REPLY_OK);
  Answer.m_Reply.set_endpoint(m_Placement.place(Request, m_Endpoints, Now));
  return Answer;
}

SlotResponse SlotAllocator::refuse(Offer Asked, base::Duration RetryAfter) {
  SlotResponse Answer{.m_Offer = std::move(Asked), .m_Reply = {}};
  Answer.m_Reply.set_id(Answer.m_Offer.m_Request.id());
  Answer.m_Reply.set_kind(messages::fleet::REPLY_BUSY);
  Answer.m_Reply.set_wait_ms(
      static_cast<std::uint32_t>(base::wholeMilliseconds(RetryAfter)));
  return Answer;
}

} // namespace psp::history
