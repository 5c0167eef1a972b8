#include "gateway/MatchingResponse.h"

#include "gateway/Gateway.h"

#include <algorithm>
#include <array>

namespace psp::gateway {

namespace asio = boost::asio;

namespace {

/// Maximum responses to other requests that are skipped on one connection.
constexpr int MaxForeignResponses = 4;
/// Statuses which mean that a request was not executed.
constexpr std::array<unsigned, 4> NotExecutedStatuses = {408, 421, 429, 503};

bool meansNotExecuted(unsigned Status) {
  return std::ranges::find(NotExecutedStatuses, Status) !=
         NotExecutedStatuses.end();
}

/// Whether a response with \p Metadata on \p Channel is to \p RequestId. A
/// refusal that names no request could be to an earlier one, unless it comes
/// first on its connection.
bool isResponseTo(const std::string &RequestId, const EndpointChannel &Channel,
                  const ResponseMetadata &Metadata) {
  if (Metadata.m_RequestId.empty() && Metadata.isRefusal())
    return Channel.isFirstResponse();
  return Metadata.m_RequestId == RequestId;
}

} // namespace

std::string_view judgementName(ResponseJudgement Judgement) {
  switch (Judgement) {
  case ResponseJudgement::Refusal:
    return "not_run";
  case ResponseJudgement::WrongEndpoint:
    return "wrong_endpoint";
  case ResponseJudgement::OtherWeights:
    return "other_weights";
  case ResponseJudgement::Unusable:
    return "unusable";
  case ResponseJudgement::Usable:
    return "usable";
  }
  return "unknown";
}

ResponseJudgement judgeResponse(unsigned Status,
                                const ResponseMetadata &Metadata,
                                std::string_view ExpectedWeights) {
  if (Metadata.m_Misdirected)
    return ExpectedWeights.empty() || Metadata.m_Weights == ExpectedWeights
               ? ResponseJudgement::WrongEndpoint
               : ResponseJudgement::OtherWeights;
  if (Metadata.m_NotExecuted)
    return ResponseJudgement::Refusal;
  const bool Success = Status >= 200 && Status < 300;
  const bool Unusable =
      (Success && !Metadata.m_Signed) || meansNotExecuted(Status);
  return Unusable ? ResponseJudgement::Unusable : ResponseJudgement::Usable;
}

void onNotExecuted(Gateway &Owner, const SentRequest &Sent,
                   ResponseJudgement Judgement) {
  const base::TimePoint Now = base::readMonotonic();
  if (Judgement == ResponseJudgement::Refusal)
    Owner.placement().onFull(Sent.m_Endpoint, Now);
  if (Judgement != ResponseJudgement::WrongEndpoint)
    return;
  if (Owner.endpoints().markMisdirected(Sent.m_Endpoint, Sent.m_StartTime, Now))
    Owner.node().log().write("endpoint_misdirected",
                             {{"request", Sent.m_RequestId},
                              {"endpoint", Sent.m_Endpoint},
                              {"born", Sent.m_StartTime}});
}

asio::awaitable<bool> readMatchingHead(Gateway &Owner, EndpointChannel &Channel,
                                       SentRequest Sent,
                                       ResponseMetadata &HeadMetadata) {
  for (int ForeignCount = 0; ForeignCount < MaxForeignResponses;
       ++ForeignCount) {
    if (!co_await Channel.readHead())
      co_return false;
    HeadMetadata = Owner.protocol().parseResponse(Channel.head());
    if (isResponseTo(Sent.m_RequestId, Channel, HeadMetadata)) {
      if (HeadMetadata.m_Leaving)
        Owner.onEndpointLeaving(Sent.m_Endpoint, Sent.m_StartTime);
      co_return true;
    }
    Owner.node().log().write("foreign_answer_skipped",
                             {{"request", Sent.m_RequestId},
                              {"found", HeadMetadata.m_RequestId},
                              {"endpoint", Sent.m_Endpoint},
                              {"status", Channel.head().result_int()}});
    // Later responses on this connection can't be assigned either.
    if (HeadMetadata.m_RequestId.empty() && HeadMetadata.isRefusal())
      co_return false;
    std::size_t Skipped = 0;
    while (Skipped < MaxResponseBytes) {
      const std::size_t Count = (co_await Channel.readSome()).size();
      if (Count == 0)
        break;
      Skipped += Count;
    }
    if (!Channel.isComplete())
      co_return false;
  }
  co_return false;
}

void logCutRequest(Gateway &Owner, const SentRequest &Sent,
                   const EndpointChannel &Channel, bool EndedHere) {
  Owner.node().log().write(
      "request_cut", {{"request", Sent.m_RequestId},
                      {"endpoint", Sent.m_Endpoint},
                      {"sent_bytes", Channel.sentBytes()},
                      {"may_have_begun", Channel.mayHaveBegun() ? "yes" : "no"},
                      {"ended_by", EndedHere ? "instance" : "endpoint"}});
}

void logEndlessResponse(Gateway &Owner, const std::string &RequestId,
                        const std::string &Endpoint, std::uint64_t Bytes) {
  Owner.node().log().write("response_too_long", {{"request", RequestId},
                                                 {"endpoint", Endpoint},
                                                 {"bytes", Bytes},
                                                 {"most", MaxResponseBytes}});
}

} // namespace psp::gateway
