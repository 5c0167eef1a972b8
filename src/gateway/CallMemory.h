/// \file
/// The bytes that this instance holds for calls, in both directions.

#ifndef PSP_GATEWAY_CALLMEMORY_H
#define PSP_GATEWAY_CALLMEMORY_H

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace psp::gateway {

/// Which way the bytes of a call go.
enum class CallDirection {
  Request, ///< From the caller to an endpoint.
  Answer,  ///< From an endpoint to the caller.
};

struct CallMemoryOptions {
  /// The process is killed if it uses more memory, in bytes. Zero: unknown.
  std::uint64_t m_ProcessBytes = 0;
  /// Part of the process's memory that bytes of calls may use.
  double m_Share = 0.5;
  /// Part of that which large holds may use; the rest is kept for small ones.
  double m_LargeShare = 0.75;
  /// A hold of up to this many bytes is small.
  std::uint64_t m_SmallBytes = 64U << 10U;
  /// The bytes of calls if the process's memory is unknown.
  std::uint64_t m_DefaultBytes = 64U << 20U;
  /// Part of the process's memory that unread bytes of callers that wait may
  /// use; the limit itself doesn't count them.
  double m_WaitShare = 0.1;
  /// Bytes of one caller that waits which the system may have received.
  std::uint64_t m_BytesPerWait = 256U << 10U;
  /// A refused caller returns after at least and at most this long.
  base::Duration m_MinRetryDelay = base::milliseconds(100);
  base::Duration m_MaxRetryDelay = base::seconds(2);
};

/// Load pattern: many callers send long bodies, or endpoints send bytes without
/// end, and no call holds more than it may by itself. Small holds aren't shut
/// out by large ones, nor an organisation by another that asks for more.
/// Decides without I/O.
class CallMemory {
public:
  /// The bytes that are held for one call, until it is destroyed.
  class Hold {
  public:
    Hold() = default;
    explicit Hold(CallMemory &Owner,
                  CallDirection Direction = CallDirection::Answer)
        : m_Owner(&Owner), m_Direction(Direction) {}
    Hold(Hold &&Other) noexcept
        : m_Owner(std::exchange(Other.m_Owner, nullptr)),
          m_Direction(Other.m_Direction),
          m_Organisation(std::move(Other.m_Organisation)),
          m_Bytes(std::exchange(Other.m_Bytes, 0)) {}
    Hold &operator=(Hold &&Other) noexcept {
      std::swap(m_Owner, Other.m_Owner);
      std::swap(m_Direction, Other.m_Direction);
      std::swap(m_Organisation, Other.m_Organisation);
      std::swap(m_Bytes, Other.m_Bytes);
      return *this;
    }
    ~Hold();

    /// Extends the hold to \p Bytes in all. Returns false, and changes nothing,
    /// if there is no room for them.
    bool growTo(std::uint64_t Bytes);
    /// Reduces the hold to \p Bytes in all, if it is larger.
    void shrinkTo(std::uint64_t Bytes);
    std::uint64_t bytes() const { return m_Bytes; }

  private:
    friend class CallMemory;
    CallMemory *m_Owner = nullptr;
    CallDirection m_Direction = CallDirection::Answer;
    /// Whose share the hold counts in; empty: nobody's.
    std::optional<std::string> m_Organisation;
    std::uint64_t m_Bytes = 0;
  };

  /// What a caller wants to send before it is read.
  struct Demand {
    std::uint64_t m_Bytes = 0;
    /// Empty: of no organisation. These callers share one part.
    std::string m_Organisation;
  };

  explicit CallMemory(CallMemoryOptions Options = {});
  CallMemory(const CallMemory &) = delete;
  CallMemory &operator=(const CallMemory &) = delete;

  /// Whether a hold of \p Bytes is possible while nothing else is held.
  bool canEverHold(std::uint64_t Bytes) const { return Bytes <= m_Limit; }
  /// Calls \p OnGranted with a hold for \p Asked, at once or when there is
  /// room. The organisation that holds least comes first, and of one
  /// organisation the one that has waited longest. The result identifies the
  /// wait for cancel(); empty if the demand is refused, since the organisation
  /// has as many waits as there are places left. So others find some.
  std::optional<std::uint64_t> await(Demand Asked,
                                     std::function<void(Hold)> OnGranted);
  void cancel(std::uint64_t Id);

  /// A call that asked for a large hold has ended after \p HeldFor.
  void recordLargeHold(base::Duration HeldFor);
  /// Until there should be room for a demand that is refused now.
  base::Duration retryDelay() const;
  /// Whether something waits now, or has lacked room since the last call.
  bool takeShortage();

  std::uint64_t heldBytes() const {
    return heldBytes(CallDirection::Request) + heldBytes(CallDirection::Answer);
  }
  std::uint64_t heldBytes(CallDirection Direction) const {
    return m_Held[static_cast<std::size_t>(Direction)];
  }
  std::uint64_t limitBytes() const { return m_Limit; }
  std::uint64_t smallBytes() const { return m_Options.m_SmallBytes; }
  std::size_t waiting() const { return m_Waits.size(); }

private:
  struct Wait {
    std::uint64_t m_Id = 0;
    Demand m_Asked;
    std::function<void(Hold)> m_OnGranted;
  };
  using WaitIterator = std::list<Wait>::iterator;

  /// Whether a hold may grow from \p Old to \p New bytes.
  bool hasRoom(std::uint64_t Old, std::uint64_t New) const;
  bool isSmall(std::uint64_t Bytes) const {
    return Bytes <= m_Options.m_SmallBytes;
  }
  void change(Hold &Changed, std::uint64_t Bytes);
  std::optional<Hold> grant(const Demand &Asked);
  std::uint64_t heldBy(const std::string &Organisation) const;
  /// The wait that is served next among small or large ones.
  WaitIterator nextWait(bool Small);
  void grantWaits();
  bool grantNext(bool Small);

  CallMemoryOptions m_Options;
  std::uint64_t m_Limit;
  std::size_t m_MaxWaits;
  std::array<std::uint64_t, 2> m_Held{}; ///< By direction.
  /// Of holds that were awaited, by organisation.
  std::map<std::string, std::uint64_t> m_HeldBy;
  std::uint64_t m_LastWait = 0;
  std::list<Wait> m_Waits; ///< The longest wait first.
  base::Duration m_MeanHold;
  bool m_Shortage = false;
};

} // namespace psp::gateway

#endif
