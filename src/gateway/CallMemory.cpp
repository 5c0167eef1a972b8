#include "gateway/CallMemory.h"

#include <algorithm>

namespace psp::gateway {

CallMemory::Hold::~Hold() {
  if (m_Owner && m_Bytes > 0)
    m_Owner->release(m_Bytes);
}

bool CallMemory::Hold::growTo(std::uint64_t Bytes) {
  if (Bytes <= m_Bytes)
    return true;
  if (!m_Owner || !m_Owner->hasRoom(m_Bytes, Bytes))
    return false;
  m_Owner->m_Held += Bytes - m_Bytes;
  m_Bytes = Bytes;
  return true;
}

CallMemory::CallMemory(CallMemoryOptions Options)
    : m_Options(Options),
      m_Limit(Options.m_ProcessBytes == 0
                  ? Options.m_DefaultBytes
                  : static_cast<std::uint64_t>(
                        Options.m_Share *
                        static_cast<double>(Options.m_ProcessBytes))) {}

bool CallMemory::hasRoom(std::uint64_t Old, std::uint64_t New) const {
  const std::uint64_t Held = m_Held - Old + New;
  if (New <= m_Options.m_SmallBytes || Held == New)
    return Held <= m_Limit;
  return static_cast<double>(Held) <=
         m_Options.m_LargeShare * static_cast<double>(m_Limit);
}

std::uint64_t CallMemory::await(std::uint64_t Bytes,
                                std::function<void(Hold)> OnGranted) {
  const std::uint64_t Id = ++m_LastWait;
  Hold Granted(*this);
  const bool Small = Bytes <= m_Options.m_SmallBytes;
  if ((Small || m_Waits.empty()) && Granted.growTo(Bytes))
    OnGranted(std::move(Granted));
  else
    m_Waits.push_back(
        {.m_Id = Id, .m_Bytes = Bytes, .m_OnGranted = std::move(OnGranted)});
  return Id;
}

void CallMemory::cancel(std::uint64_t Id) {
  std::erase_if(m_Waits, [Id](const auto &Entry) { return Entry.m_Id == Id; });
  grantWaits();
}

void CallMemory::release(std::uint64_t Bytes) {
  m_Held -= std::min(m_Held, Bytes);
  grantWaits();
}

void CallMemory::grantWaits() {
  while (!m_Waits.empty()) {
    Hold Granted(*this);
    if (!Granted.growTo(m_Waits.front().m_Bytes))
      return;
    const auto OnGranted = std::move(m_Waits.front().m_OnGranted);
    m_Waits.pop_front();
    OnGranted(std::move(Granted));
  }
}

} // namespace psp::gateway
