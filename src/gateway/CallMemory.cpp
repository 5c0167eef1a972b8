#include "gateway/CallMemory.h"

#include <algorithm>

namespace psp::gateway {

namespace {

/// Weight of the latest hold in the mean time of large holds.
constexpr double LatestHoldWeight = 0.2;

std::uint64_t shareOf(double Share, std::uint64_t Bytes) {
  return static_cast<std::uint64_t>(Share * static_cast<double>(Bytes));
}

} // namespace

CallMemory::Hold::~Hold() { shrinkTo(0); }

bool CallMemory::Hold::growTo(std::uint64_t Bytes) {
  if (Bytes <= m_Bytes)
    return true;
  if (!m_Owner)
    return false;
  if (!m_Owner->hasRoom(m_Bytes, Bytes)) {
    m_Owner->m_Shortage = true;
    return false;
  }
  m_Owner->change(*this, Bytes);
  return true;
}

void CallMemory::Hold::shrinkTo(std::uint64_t Bytes) {
  if (!m_Owner || Bytes >= m_Bytes)
    return;
  m_Owner->change(*this, Bytes);
  m_Owner->grantWaits();
}

CallMemory::CallMemory(CallMemoryOptions Options)
    : m_Options(Options),
      m_Limit(Options.m_ProcessBytes == 0
                  ? Options.m_DefaultBytes
                  : shareOf(Options.m_Share, Options.m_ProcessBytes)),
      m_MaxWaits(shareOf(Options.m_WaitShare, Options.m_ProcessBytes == 0
                                                  ? Options.m_DefaultBytes
                                                  : Options.m_ProcessBytes) /
                 Options.m_BytesPerWait),
      m_MeanHold(Options.m_MinRetryDelay) {}

bool CallMemory::hasRoom(std::uint64_t Old, std::uint64_t New) const {
  const std::uint64_t Held = heldBytes() - Old + New;
  if (isSmall(New) || Held == New)
    return Held <= m_Limit;
  return Held <= shareOf(m_Options.m_LargeShare, m_Limit);
}

void CallMemory::change(Hold &Changed, std::uint64_t Bytes) {
  std::uint64_t &Held = m_Held[static_cast<std::size_t>(Changed.m_Direction)];
  Held = Held - Changed.m_Bytes + Bytes;
  if (Changed.m_Organisation) {
    std::uint64_t &Shared = m_HeldBy[*Changed.m_Organisation];
    Shared = Shared - Changed.m_Bytes + Bytes;
    if (Shared == 0)
      m_HeldBy.erase(*Changed.m_Organisation);
  }
  Changed.m_Bytes = Bytes;
}

std::uint64_t CallMemory::heldBy(const std::string &Organisation) const {
  const auto It = m_HeldBy.find(Organisation);
  return It == m_HeldBy.end() ? 0 : It->second;
}

std::optional<CallMemory::Hold> CallMemory::grant(const Demand &Asked) {
  if (!hasRoom(0, Asked.m_Bytes))
    return std::nullopt;
  Hold Granted(*this, CallDirection::Request);
  Granted.m_Organisation = Asked.m_Organisation;
  change(Granted, Asked.m_Bytes);
  return Granted;
}

std::optional<std::uint64_t>
CallMemory::await(Demand Asked, std::function<void(Hold)> OnGranted) {
  const std::uint64_t Id = ++m_LastWait;
  const bool Small = isSmall(Asked.m_Bytes);
  const bool First = nextWait(Small) == m_Waits.end();
  if (First)
    if (auto Granted = grant(Asked)) {
      OnGranted(std::move(*Granted));
      return Id;
    }
  m_Shortage = true;
  const auto OfOrganisation = static_cast<std::size_t>(
      std::ranges::count_if(m_Waits, [&](const Wait &Entry) {
        return Entry.m_Asked.m_Organisation == Asked.m_Organisation;
      }));
  if (m_Waits.size() + OfOrganisation >= m_MaxWaits)
    return std::nullopt;
  m_Waits.push_back({.m_Id = Id,
                     .m_Asked = std::move(Asked),
                     .m_OnGranted = std::move(OnGranted)});
  return Id;
}

void CallMemory::cancel(std::uint64_t Id) {
  std::erase_if(m_Waits, [Id](const auto &Entry) { return Entry.m_Id == Id; });
  grantWaits();
}

CallMemory::WaitIterator CallMemory::nextWait(bool Small) {
  WaitIterator Next = m_Waits.end();
  for (auto It = m_Waits.begin(); It != m_Waits.end(); ++It)
    if (isSmall(It->m_Asked.m_Bytes) == Small &&
        (Next == m_Waits.end() || heldBy(It->m_Asked.m_Organisation) <
                                      heldBy(Next->m_Asked.m_Organisation)))
      Next = It;
  return Next;
}

/// Small waits come first: they need little, and large ones leave a part to
/// them only.
void CallMemory::grantWaits() {
  while (grantNext(true) || grantNext(false)) {
  }
}

bool CallMemory::grantNext(bool Small) {
  const WaitIterator Next = nextWait(Small);
  if (Next == m_Waits.end())
    return false;
  auto Granted = grant(Next->m_Asked);
  if (!Granted)
    return false;
  const auto OnGranted = std::move(Next->m_OnGranted);
  m_Waits.erase(Next);
  OnGranted(std::move(*Granted));
  return true;
}

void CallMemory::recordLargeHold(base::Duration HeldFor) {
  m_MeanHold += std::chrono::duration_cast<base::Duration>(
      LatestHoldWeight * (HeldFor - m_MeanHold));
}

base::Duration CallMemory::retryDelay() const {
  // All that is held and asked for passes through the limit in turn.
  std::uint64_t Bytes = heldBytes();
  for (const Wait &Entry : m_Waits)
    Bytes += Entry.m_Asked.m_Bytes;
  const double Rounds =
      m_Limit == 0 ? 0
                   : static_cast<double>(Bytes) / static_cast<double>(m_Limit);
  return std::clamp(
      std::chrono::duration_cast<base::Duration>(Rounds * m_MeanHold),
      m_Options.m_MinRetryDelay, m_Options.m_MaxRetryDelay);
}

bool CallMemory::takeShortage() {
  return std::exchange(m_Shortage, false) || !m_Waits.empty();
}

} // namespace psp::gateway
