#include "gateway/RequestBodyReader.h"

#include "gateway/Gateway.h"
#include "gateway/TransferWatch.h"
#include "metrics/Names.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace psp::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::ErrorKind;

namespace {

/// A caller waits this long for room at the most, and this part of its time. A
/// caller gives up a request that isn't read in a second or a third of its
/// time.
constexpr base::Duration MaxRoomWait = base::milliseconds(500);
constexpr int RoomWaitDivisor = 4;
/// The usual end of a body that stalls is the session's limit of the whole
/// body. While memory is scarce it is earlier than the end of the wait of those
/// who lack it.
constexpr StallLimits BodyStallLimits = {.m_Usual = base::seconds(60),
                                         .m_Scarce = base::milliseconds(250)};
/// The text of a turn that is to be retained: the body, the message to history
/// and its encoding.
constexpr std::uint64_t RetainedTurnCopies = 3;
/// Bytes of a long body that are read at once.
constexpr std::size_t ReadBytes = 16U << 10U;

} // namespace

RequestBodyReader::RequestBodyReader(Gateway &Owner,
                                     asio::ip::tcp::socket &Caller,
                                     boost::beast::flat_buffer &Buffer,
                                     Parser &Head, std::uint64_t MaxBodyBytes)
    : m_Gateway(Owner), m_Socket(Caller), m_Buffer(Buffer), m_Parser(Head),
      m_MaxBodyBytes(MaxBodyBytes),
      m_Held(Owner.callMemory(), CallDirection::Request) {}

asio::awaitable<bool> RequestBodyReader::read() {
  const auto Length = m_Parser.content_length();
  // Whatever a head announces, a body is small until more of it has come.
  const std::uint64_t Announced = Length ? *Length : m_MaxBodyBytes;
  const std::uint64_t Begin =
      std::min(Announced, m_Gateway.callMemory().smallBytes());
  const bool HasRoom = co_await demand(Begin);
  if (!HasRoom)
    co_return false;
  if (m_Parser.get()[http::field::expect] == "100-continue") {
    http::response<http::empty_body> Continue(http::status::continue_, 11);
    co_await http::async_write(
        m_Socket, Continue, asio::redirect_error(asio::use_awaitable, m_Error));
  }
  if (!m_Error)
    co_await readPieces();
  const std::uint64_t Read = m_Parser.get().body().size();
  m_Held.shrinkTo(Read *
                  (m_Gateway.callMemory().smallBytes() < Read ? copies() : 1));
  co_return !m_Error && !m_Refusal;
}

asio::awaitable<void> RequestBodyReader::readPieces() {
  bool Ended = false;
  std::optional<TransferWatch> Watch;
  const auto Length = m_Parser.content_length();
  const auto BeginWatch = [&] {
    Watch.emplace(m_Gateway.slowTransfers(), BodyStallLimits, [this, &Ended] {
      Ended = true;
      boost::system::error_code Ignored; // The read reports its own error.
      m_Socket.cancel(Ignored);
    });
  };
  if (!Length || *Length > m_Buffer.size())
    BeginWatch();
  const std::uint64_t SmallBytes = m_Gateway.callMemory().smallBytes();
  if (Length && *Length > SmallBytes)
    m_Buffer.reserve(ReadBytes);
  bool Small = !Length || *Length > SmallBytes;
  while (!m_Parser.is_done() && !m_Error && !m_Refusal) {
    const std::size_t Count = co_await http::async_read_some(
        m_Socket, m_Buffer, m_Parser,
        asio::redirect_error(asio::use_awaitable, m_Error));
    if (Watch)
      Watch->onProgress(Count);
    if (Small && m_Parser.get().body().size() > SmallBytes / 2) {
      Small = false;
      const std::uint64_t Announced = Length ? *Length : m_MaxBodyBytes;
      co_await demand(Announced);
      BeginWatch(); // The caller may have waited.
    }
  }
  if (m_Buffer.size() == 0 && m_Buffer.capacity() >= ReadBytes)
    m_Buffer.shrink_to_fit();
  if (Ended && m_Error)
    refuse(ErrorKind::Overloaded, "slow_body", m_Parser.get().body().size());
}

asio::awaitable<bool> RequestBodyReader::demand(std::uint64_t Bytes) {
  CallMemory &Memory = m_Gateway.callMemory();
  if (Bytes <= Memory.smallBytes() && m_Held.growTo(Bytes))
    co_return true;
  m_Metadata = m_Gateway.protocol().parseCall(m_Parser.get());
  const std::uint64_t Needed =
      Bytes <= Memory.smallBytes() ? Bytes : Bytes * copies();
  if (!Memory.canEverHold(Needed)) {
    refuse(ErrorKind::BodyTooLarge, "too_large", Bytes);
    co_return false;
  }
  const bool HasRoom = co_await awaitRoom(Needed, organisation());
  if (!HasRoom)
    refuse(ErrorKind::Overloaded, "no_room", Bytes);
  co_return HasRoom;
}

asio::awaitable<bool> RequestBodyReader::awaitRoom(std::uint64_t Bytes,
                                                   std::string Organisation) {
  CallMemory &Memory = m_Gateway.callMemory();
  link::Waiter Granted(m_Gateway.io());
  const auto Wait = Memory.await(
      {.m_Bytes = Bytes, .m_Organisation = std::move(Organisation)},
      [this, &Granted](CallMemory::Hold Room) {
        m_Held = std::move(Room);
        Granted.fire();
      });
  if (!Wait)
    co_return false;
  base::Duration Limit = MaxRoomWait;
  if (m_Metadata.m_TimeLeft)
    Limit = std::min(Limit, *m_Metadata.m_TimeLeft / RoomWaitDivisor);
  const bool HasRoom = co_await Granted.wait(Limit);
  if (!HasRoom)
    Memory.cancel(*Wait);
  co_return HasRoom;
}

void RequestBodyReader::refuse(ErrorKind Kind, std::string_view Reason,
                               std::uint64_t Bytes) {
  const CallMemory &Memory = m_Gateway.callMemory();
  if (m_Metadata.m_Id.empty())
    m_Metadata = m_Gateway.protocol().parseCall(m_Parser.get());
  m_Refusal.emplace(Kind, "there is no memory for the body of this request",
                    Kind == ErrorKind::Overloaded
                        ? std::optional(Memory.retryDelay())
                        : std::nullopt);
  const std::string Organisation = organisation();
  metrics::Registry &Metrics = m_Gateway.node().metrics();
  Metrics
      .counter(metrics::names::Refusals,
               {{metrics::names::OrganisationLabel, Organisation},
                {metrics::names::KindLabel,
                 std::string(base::errorAnswer(Kind).m_Name)}})
      .add();
  Metrics
      .counter(metrics::names::BodiesRefused,
               {{metrics::names::ReasonLabel, std::string(Reason)}})
      .add();
  m_Gateway.node().log().write(
      "body_refused",
      {{"request", m_Metadata.m_Id},
       {"kind", base::errorAnswer(Kind).m_Name},
       {"reason", Reason},
       {"organisation", Organisation},
       {"bytes", Bytes},
       {"held_request_bytes", Memory.heldBytes(CallDirection::Request)},
       {"held_answer_bytes", Memory.heldBytes(CallDirection::Answer)},
       {"limit_bytes", Memory.limitBytes()},
       {"waiting", Memory.waiting()},
       {"retry_us", static_cast<std::uint64_t>(Memory.retryDelay().count())}});
}

std::string RequestBodyReader::organisation() const {
  const auto &Table = m_Gateway.routeTable();
  const fleet::OrganisationSpec *Found =
      Table ? Table->organisationOf(m_Metadata.m_Key) : nullptr;
  return Found ? Found->m_Name : std::string();
}

std::uint64_t RequestBodyReader::copies() const {
  const auto &Table = m_Gateway.routeTable();
  const std::string_view Target = m_Parser.get().target();
  const fleet::Route *Route =
      Table ? Table->find(m_Metadata.m_Host, Target.substr(0, Target.find('?')))
            : nullptr;
  return Route && Route->m_RetainsTurns ? RetainedTurnCopies : 1;
}

} // namespace psp::gateway
