/// \file
/// The bytes that this instance holds for calls, in both directions.

#ifndef PSP_GATEWAY_CALLMEMORY_H
#define PSP_GATEWAY_CALLMEMORY_H

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

namespace psp::gateway {

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
};

/// Load pattern: many callers send long bodies, or endpoints send bytes without
/// end, and no call holds more than it may by itself. Small holds aren't shut
/// out by large ones. Decides without I/O.
class CallMemory {
public:
  /// The bytes that are held for one call, until it is destroyed.
  class Hold {
  public:
    Hold() = default;
    explicit Hold(CallMemory &Owner) : m_Owner(&Owner) {}
    Hold(Hold &&Other) noexcept
        : m_Owner(std::exchange(Other.m_Owner, nullptr)),
          m_Bytes(std::exchange(Other.m_Bytes, 0)) {}
    Hold &operator=(Hold &&Other) noexcept {
      std::swap(m_Owner, Other.m_Owner);
      std::swap(m_Bytes, Other.m_Bytes);
      return *this;
    }
    ~Hold();

    /// Extends the hold to \p Bytes in all. Returns false, and changes nothing,
    /// if there is no room for them.
    bool growTo(std::uint64_t Bytes);
    std::uint64_t bytes() const { return m_Bytes; }

  private:
    friend class CallMemory;
    CallMemory *m_Owner = nullptr;
    std::uint64_t m_Bytes = 0;
  };

  explicit CallMemory(CallMemoryOptions Options = {});
  CallMemory(const CallMemory &) = delete;
  CallMemory &operator=(const CallMemory &) = delete;

  /// Whether a hold of \p Bytes is possible while nothing else is held.
  bool canEverHold(std::uint64_t Bytes) const { return Bytes <= m_Limit; }
  /// Calls \p OnGranted with a hold of \p Bytes, at once or when there is room,
  /// in the order of the calls. The result identifies the wait for cancel().
  std::uint64_t await(std::uint64_t Bytes, std::function<void(Hold)> OnGranted);
  void cancel(std::uint64_t Id);

  std::uint64_t heldBytes() const { return m_Held; }
  std::uint64_t limitBytes() const { return m_Limit; }
  std::size_t waiting() const { return m_Waits.size(); }

private:
  struct Wait {
    std::uint64_t m_Id = 0;
    std::uint64_t m_Bytes = 0;
    std::function<void(Hold)> m_OnGranted;
  };

  /// Whether a hold may grow from \p Old to \p New bytes.
  bool hasRoom(std::uint64_t Old, std::uint64_t New) const;
  void release(std::uint64_t Bytes);
  void grantWaits();

  CallMemoryOptions m_Options;
  std::uint64_t m_Limit;
  std::uint64_t m_Held = 0;
  std::uint64_t m_LastWait = 0;
  std::deque<Wait> m_Waits;
};

} // namespace psp::gateway

#endif
