/// \file
/// One attempt of a caller: validates the request, has it executed, and
/// forwards the response.

#ifndef PSP_GATEWAY_CALL_H
#define PSP_GATEWAY_CALL_H

#include "fleet/EndpointDirectory.h"
#include "fleet/RouteTable.h"
#include "gateway/CallMemory.h"
#include "gateway/CallProtocol.h"
#include "gateway/EndpointChannel.h"
#include "gateway/EndpointExchange.h"
#include "gateway/EventStream.h"
#include "gateway/InactivityMonitor.h"
#include "gateway/InstancePlaces.h"
#include "gateway/LostCall.h"
#include "gateway/SecondTries.h"
#include "gateway/TurnRecord.h"
#include "link/RequestTable.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace psp::gateway {

class Gateway;
class RateAdmission;

/// The outcome of sending a call to one endpoint.
enum class SendOutcome {
  Answered, ///< The caller has the complete response.
  NotRun,   ///< The endpoint has not executed the call and never will.
  Unknown, ///< It may have been executed; the caller has no byte of a response.
  Broken,  ///< The caller has an incomplete response.
  Ended,   ///< The caller disconnected, or the deadline has passed.
};
std::string_view outcomeName(SendOutcome Outcome);

/// What happens to the caller's connection after the response.
enum class ConnectionUse {
  Close,
  Keep,               ///< Until the instance stops.
  KeepForNextRequest, ///< Bytes of the next request have been read.
};

class Call : public std::enable_shared_from_this<Call> {
public:
  /// \p Held: the memory of the request's body.
  Call(Gateway &Owner, boost::asio::ip::tcp::socket &Caller, Request Received,
       CallMemory::Hold Held, ConnectionUse Use);

  /// Handles the call. Returns whether the caller's connection may be reused.
  boost::asio::awaitable<bool> run();
  /// The idle limit that the response states, if the connection may be reused.
  base::Duration idleLimit() const { return m_IdleLimit; }

private:
  using TimePoint = base::TimePoint;

  /// One send of the call to one endpoint.
  struct SendRecord {
    std::string m_Endpoint;
    /// Start of the endpoint process, in milliseconds of the wall clock.
    std::uint64_t m_StartTime = 0;
    std::string m_Software;
    TimePoint m_SentAt;
    TimePoint m_RespondedAt;
    unsigned m_Status = 0;                    ///< Zero without a response.
    std::optional<ResponseFraming> m_Framing; ///< Empty without a response.
  };

  // Checks, in Call.cpp.
  boost::asio::awaitable<void> handle();
  boost::asio::awaitable<void> answerFailure(std::exception_ptr Failure);
  std::optional<Refusal> checkRoute();
  /// Empty if the call may go on.
  boost::asio::awaitable<std::optional<Refusal>> takeRateToken();
  boost::asio::awaitable<std::optional<messages::fleet::Reply>>
  requestRateTokens(const RateAdmission &Admission);
  boost::asio::awaitable<bool> hasProgramBegun();
  std::optional<Refusal> holdRefusal();
  /// Whether the call continues a retained turn and isn't held itself, so that
  /// the control leader may let it be sent although its path is held.
  bool mayTryHeldPath();
  /// Refuses a call that the control leader doesn't let try yet.
  Refusal heldTryRefusal() const;
  boost::asio::awaitable<std::optional<Refusal>> beginTurn();
  /// Reads the turns before this one, \p Bytes long, in parts.
  boost::asio::awaitable<std::optional<Refusal>>
  readEarlierTurns(std::uint32_t Group, std::uint64_t Bytes);
  boost::asio::awaitable<void> refuse(Refusal Reason);
  /// Counts the call by class and by organisation.
  void count(const std::string &Outcome);

  // Sending, in CallSending.cpp.
  boost::asio::awaitable<void> sendToEndpoints();
  boost::asio::awaitable<SendOutcome>
  sendOnce(const fleet::EndpointState &Endpoint);
  boost::asio::awaitable<SendOutcome>
  sendTo(const fleet::EndpointState &Endpoint);
  boost::asio::awaitable<SendOutcome>
  receiveResponse(std::unique_ptr<EndpointChannel> Channel, SendRecord Record);
  void logSend(const SendRecord &Record, std::string_view Outcome);
  boost::asio::awaitable<SendOutcome> forwardBuffered(EndpointChannel &Channel);
  boost::asio::awaitable<SendOutcome> forwardBody(EndpointChannel &Channel,
                                                  std::string Body);
  boost::asio::awaitable<SendOutcome>
  forwardUnbuffered(EndpointChannel &Channel, std::string Begin,
                    CallMemory::Hold Held);
  boost::asio::awaitable<SendOutcome> forwardStream(EndpointChannel &Channel);
  /// Whether the response has really ended. One that ends with its connection
  /// also seems to when the endpoint's process has ended.
  boost::asio::awaitable<bool> confirmEnd(EndpointChannel &Channel);
  /// The head of the response to the caller. \p Framing is left out if the
  /// endpoint states the end of the body only by closing its connection: this
  /// instance then knows no more of the end, and passes it on in the same way.
  std::string startResponse(const EndpointChannel &Channel,
                            const std::string &Framing);
  std::string formatHead(const ResponseHead &Head,
                         const std::string &Framing) const;
  /// Whether the close of the caller's connection resets it, also at the end of
  /// this process.
  void setResetOnClose(bool Enable);
  bool mayRetry() const;
  boost::asio::awaitable<bool> maySend();
  bool hasGivenUp(const std::string &Endpoint) const;
  /// Whether the call may be sent to another endpoint if the next one fails
  /// after it may have begun to execute it.
  bool mayRetryNextTry() const;
  bool exceedsMaxTokens(std::uint64_t Tokens) const;
  /// Schedules checks that abort the wait for \p Endpoint when it becomes
  /// unreachable.
  void scheduleInactivityCheck(const std::string &Endpoint);
  boost::asio::awaitable<void> probeSilentEndpoint(std::string Endpoint);
  void stopInactivityChecks();

  // Places, in CallPlaces.cpp.
  /// Empty if an endpoint may run the call, or none is known at all.
  std::optional<Refusal> placeRefusal();
  CallPlaces callPlaces() const;
  const fleet::EndpointState *
  selectEndpoint(const std::set<std::string> &Excluded) const;
  bool takePlace(const fleet::EndpointState &Endpoint);
  std::string noEndpointDetail() const;
  // Bytes that the other side takes slowly, in CallTransfers.cpp.
  boost::asio::awaitable<bool> write(std::string_view First,
                                     std::string_view Second = {});
  void endSlowCaller();
  boost::asio::awaitable<bool> sendRequest(EndpointChannel &Channel,
                                           OutgoingRequest &Out);
  void leaveSlowEndpoint(EndpointChannel &Channel);

  // Calls whose slow answers may be overtaken, in CallSecondTry.cpp.
  using Exchanges = std::vector<std::shared_ptr<EndpointExchange>>;
  bool mayTryTwice() const;
  /// Sends the call to \p Endpoint, and to another one if that takes long.
  /// Adds both to \p Excluded.
  boost::asio::awaitable<SendOutcome>
  sendWithSecondTry(fleet::EndpointState Endpoint,
                    std::set<std::string> &Excluded);
  std::shared_ptr<EndpointExchange>
  startExchange(const fleet::EndpointState &Endpoint,
                const std::shared_ptr<boost::asio::steady_timer> &Changed);
  const fleet::EndpointState *
  selectSecondEndpoint(const CallClass &Class, const EndpointExchange &First,
                       std::set<std::string> Excluded);
  boost::asio::awaitable<SendOutcome>
  finishExchanges(CallClass Class, Exchanges All,
                  std::shared_ptr<EndpointExchange> Chosen,
                  std::set<std::string> &Excluded);
  void logExchange(const EndpointExchange &Ended, std::string_view Outcome);

  // Turns.
  /// Adds what decides where and when the turn runs.
  void describePlacement(messages::fleet::TurnPlacement &Placement) const;
  void describeProgramTime(messages::fleet::BeginTurn &Begin) const;
  messages::fleet::EndTurn makeEndTurn(bool Complete) const;
  /// Adds the events that this attempt has handed out, and those before them.
  void describeEvents(messages::fleet::EndTurn &End) const;
  boost::asio::awaitable<bool> recordTurn();
  /// Renews the record in the background if the response ended long after it.
  void renewOldRecord();
  /// Records in the background that the turn has ended, without its text.
  void settleTurnAsync(bool Failed);

  // Streams that may be taken up, in CallStreams.cpp.

  /// A record of the stream's version that is on its way to history.
  struct StreamRecord {
    explicit StreamRecord(boost::asio::io_context &Io) : m_Finished(Io) {}
    link::Waiter m_Finished;
    std::string m_SentSoftware; ///< Of the endpoint.
    std::string m_Software;     ///< As history has it; empty: not recorded.
    std::string m_Endpoint;     ///< Where the stream was sent.
    std::uint64_t m_Born = 0;   ///< Its start.
    /// History knows a later start of the endpoint, with m_Software, and has
    /// recorded nothing.
    bool m_StartEnded = false;
    /// A caller may still take the stream up: it hasn't ended whole, and no
    /// other endpoint has begun it since.
    bool m_Needed = true;
  };
  /// Whether a caller may take up this call's stream after a break.
  bool canBeTakenUp() const;
  /// Whether this call takes up an earlier stream.
  bool takesUp() const;
  /// Whether this call names the stream that it takes up as its attempts are
  /// named.
  bool namesStream() const;
  /// Restricts a call that doesn't name the stream that it takes up to the
  /// version of its service, if that has had only one.
  boost::asio::awaitable<std::optional<Refusal>> findOnlyVersion();
  boost::asio::awaitable<std::optional<Refusal>> useOnlyVersion();
  /// Restricts a call that takes up an unrecorded stream to the version of its
  /// service, if neither history nor control has ever heard of another one.
  boost::asio::awaitable<std::optional<Refusal>> useOnlyKnownVersion();
  /// Whether history has assigned an endpoint, or a start of it, that this
  /// instance hasn't heard of.
  bool isAssignedEndpointUnknown() const;
  /// Gives nothing more to a start of \p Endpoint before \p Born, which has
  /// ended: it started again.
  void markEarlierStartRemoved(const std::string &Endpoint, std::uint64_t Born);
  /// Learns the present start of the assigned endpoint, once in this call.
  boost::asio::awaitable<void> learnAssignedEndpoint();
  /// Whether an endpoint of m_Software is known here.
  bool isVersionKnown() const;
  /// How long the call may still wait for endpoints that this instance doesn't
  /// know, \p Limit at most.
  base::Duration versionWaitLeft(base::Duration Limit);
  /// Looks for an endpoint of m_Software at history and control, with a pause
  /// unless that brought the first one. False if waiting longer is of no use:
  /// none serves, or the time for it is over.
  boost::asio::awaitable<bool> awaitVersion();
  /// Refuses a call that awaitVersion() has found no endpoint for: for good if
  /// none serves.
  Refusal versionRefusal();
  void describeStream(messages::fleet::BeginTurn &Begin) const;
  /// Whether the events of this call are recorded for a caller that takes its
  /// stream up: its turn is retained with the whole text.
  bool recordsEvents() const;
  /// Reads the events that the caller has already of the turn that it takes up.
  boost::asio::awaitable<std::optional<Refusal>>
  readEarlierEvents(std::uint32_t Group);
  Refusal takeUpRefusal(base::ErrorKind Kind);
  /// Finds the version of the stream that a call without a token budget takes
  /// up.
  boost::asio::awaitable<std::optional<Refusal>> findStream();
  void onStreamFound(const messages::fleet::Reply &Found);
  /// Restricts the call to the version of \p Endpoint, and has the version
  /// recorded in the background unless it is already.
  void recordStreamAsync(const fleet::EndpointState &Endpoint);
  boost::asio::awaitable<void>
  recordStream(std::shared_ptr<StreamRecord> Record,
               std::shared_ptr<StreamRecord> Earlier);
  /// Prepares the next try after one that went to a start which has ended.
  void forgetEndedStart();
  /// Waits for the record of the version, and returns whether events may be
  /// forwarded: not if history has another version for this stream.
  boost::asio::awaitable<bool> awaitStreamRecord();
  void logTakeUp(std::string_view Outcome);

  // The caller.
  void watchForDisconnect();
  void onCallerReadable();
  void armDeadline();
  std::string statedIdleTime() const;
  void abort();
  /// Closes the connection after the response, unless a request that has been
  /// read would be lost.
  void closeIfIdle();
  /// Whether the call may last beyond the end of a planned stop.
  bool mayOutliveInstance() const;
  bool isCancelled() const {
    return m_CallerDisconnected || m_DeadlineExpired || m_InstanceEnds;
  }
  base::Duration timeLeft() const;
  /// Empty on public routes.
  std::string organisationName() const;
  /// Zero is the highest.
  std::uint32_t priority() const;
  bool isHeadRequest() const {
    return m_Request.method() == boost::beast::http::verb::head;
  }
  const std::string &fingerprint();
  void checkLostCall(LostCall::Kind Kind, const fleet::EndpointState &Endpoint,
                     TimePoint SentAt);
  void onSendEnded(SendOutcome Outcome, const fleet::EndpointState &Endpoint,
                   TimePoint SentAt);

  Gateway &m_Gateway;
  boost::asio::ip::tcp::socket &m_CallerSocket;
  Request m_Request;
  CallMemory::Hold m_Held; ///< Of the request's body and the turns before it.
  const ConnectionUse m_Use;
  bool m_KeepAlive;
  const base::Duration m_IdleLimit;
  CallMetadata m_Metadata;
  std::shared_ptr<const fleet::RouteTable> m_RouteTable;
  const fleet::Route *m_Route = nullptr;
  const fleet::OrganisationSpec *m_Organisation = nullptr;
  std::string m_Service;
  TimePoint m_ArrivedAt;
  TimePoint m_Deadline;
  boost::asio::steady_timer m_DeadlineTimer;

  bool m_Finished = false;
  bool m_Refused = false;
  bool m_CallerDisconnected = false; ///< The caller closed its connection.
  bool m_DeadlineExpired = false;    ///< The deadline has passed.
  bool m_InstanceEnds = false;       ///< A planned stop is about to end.
  bool m_ResponseStarted = false; ///< The caller may have bytes of a response.
  std::function<void()> m_Abort;  ///< Aborts the pending operation.

  /// The call begins a program, as far as this instance knows.
  bool m_BeginsProgram = false;
  bool m_Waited = false; ///< For a token or a slot.
  /// The only version of the endpoints' software that may generate the stream;
  /// empty: any.
  std::string m_Software;
  /// History has m_Software for the stream, or may have.
  bool m_SoftwareFixed = false;
  std::shared_ptr<StreamRecord> m_StreamRecord; ///< Null if none was needed.
  /// Age of the record of the stream that is taken up.
  base::Duration m_StreamAge{0};
  bool m_IsTurn = false;
  bool m_TurnOpen = false; ///< Its tokens are reserved, its end not recorded.
  TurnRecord m_TurnRecord;
  std::string m_EarlierTurns;
  std::string m_AssignedEndpoint; ///< Engine that the history leader selected.
  std::uint64_t m_AssignedBorn = 0; ///< Its start; zero: not known.
  bool m_AssignedLearned = false;   ///< Its present start has been asked for.
  /// Until when the call waits for endpoints that this instance doesn't know;
  /// empty: it hasn't begun to.
  std::optional<TimePoint> m_VersionDeadline;
  bool m_VersionGone = false; ///< No endpoint of m_Software serves.
  std::uint64_t m_Tokens = 0;
  std::uint64_t m_Events = 0; ///< Complete ones that were received.
  /// By the homes of the route and the organisation.
  AllowedDataCentres m_AllowedDataCentres;
  TimePoint m_SlotAskedAt; ///< Before the slot was granted.
  std::uint32_t m_EventGapUs = 0;
  std::uint32_t m_FirstEventUs = 0; ///< Since the send; zero: unknown.
  TimePoint m_LastSentAt;           ///< To the present endpoint.
  /// Those that the caller has already of a stream that it takes up.
  CollectedEvents m_EarlierEvents;
  std::optional<EventStream> m_EventStream; ///< Of the last try, with those.
  std::string m_CurrentEndpoint;
  std::string m_CurrentAddress;    ///< Of m_CurrentEndpoint.
  std::string m_CurrentDataCentre; ///< Of m_CurrentEndpoint.
  std::vector<std::string> m_UnreachableEndpoints;
  bool m_WritingToCaller = false; ///< Blocked until the caller reads.
  std::optional<InactivityMonitor> m_InactivityMonitor;
  boost::asio::steady_timer m_InactivityTimer;
  std::string m_Fingerprint; ///< Empty until it is needed.
  /// The control leader lets a held request be tried with this call.
  bool m_MayTryHeld = false;
  /// Until the control leader may let such a turn be sent; zero: not known.
  base::Duration m_HeldPathWait{0};
  /// The connection ended before the endpoint had answered completely.
  bool m_ConnectionLost = false;
  bool m_Sent = false; ///< The present endpoint may have begun to execute it.
  /// The present endpoint took the request too slowly, and was left.
  bool m_LeftSlowEndpoint = false;
  /// The caller's response ends with its connection and isn't complete.
  bool m_ResetOnClose = false;
  /// The endpoint that may have ended with this call before, and its start.
  std::string m_LastLostEndpoint;
  std::uint64_t m_LastLostStart = 0;
  /// Number of endpoints that may have executed the call.
  std::uint32_t m_Executions = 0;
  /// Number of endpoints without the weights that the caller expects.
  std::size_t m_OtherWeights = 0;
};

} // namespace psp::gateway

#endif
