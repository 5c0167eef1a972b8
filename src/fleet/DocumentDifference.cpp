#include "fleet/DocumentDifference.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <limits>
#include <vector>

namespace psp::fleet {

namespace {

namespace zlib = boost::beast::zlib;

constexpr char FormatVersion = 1;
/// Bytes that must be equal to begin a copy; the earlier text is indexed at
/// multiples of this.
constexpr std::size_t BlockBytes = 32;
/// In bits of the deflate format.
constexpr int WindowBits = 15;
/// Fast levels gain most of what slower ones do on these texts.
constexpr int CompressionLevel = 3;
constexpr int DeflateMemoryLevel = 8;
constexpr std::size_t PaddingBytes = 8;
constexpr std::uint32_t HashMultiplier = 0x08088405U;
constexpr unsigned BitsOfByte = 7;

void appendNumber(std::string &Out, std::uint64_t Value) {
  while (Value >> BitsOfByte) {
    Out += static_cast<char>((Value & 0x7FU) | 0x80U);
    Value >>= BitsOfByte;
  }
  Out += static_cast<char>(Value);
}

/// Removes a number from the front of \p In.
std::optional<std::uint64_t> takeNumber(std::string_view &In) {
  std::uint64_t Value = 0;
  for (unsigned Shift = 0;
       !In.empty() && Shift < std::numeric_limits<std::uint64_t>::digits;
       Shift += BitsOfByte) {
    const auto Byte = static_cast<unsigned char>(In.front());
    In.remove_prefix(1);
    Value |= static_cast<std::uint64_t>(Byte & 0x7FU) << Shift;
    if (Byte < 0x80U)
      return Value;
  }
  return std::nullopt;
}

/// Weight of the first of BlockBytes bytes in their hash.
constexpr std::uint32_t firstWeight() {
  std::uint32_t Weight = 1;
  for (std::size_t I = 1; I < BlockBytes; ++I)
    Weight *= HashMultiplier;
  return Weight;
}

/// Rolling hash of BlockBytes bytes.
class RollingHash {
public:
  explicit RollingHash(const char *Begin) {
    for (std::size_t I = 0; I < BlockBytes; ++I)
      m_Value = m_Value * HashMultiplier + byteOf(Begin[I]);
  }
  void roll(char Leaving, char Entering) {
    m_Value = (m_Value - byteOf(Leaving) * firstWeight()) * HashMultiplier +
              byteOf(Entering);
  }
  std::uint32_t value() const { return m_Value; }

private:
  static std::uint32_t byteOf(char Character) {
    return static_cast<unsigned char>(Character) + 1U;
  }
  std::uint32_t m_Value = 0;
};

/// Positions of blocks of a text by hash, one for each slot, so that a search
/// costs the same whatever the text is.
class BlockIndex {
public:
  BlockIndex(std::string_view Text, std::size_t Begin, std::size_t End)
      : m_Text(Text) {
    const std::size_t Blocks = (End - Begin) / BlockBytes;
    m_Slots.resize(std::bit_ceil(2 * Blocks + 1), 0);
    m_Shift = 32 - static_cast<int>(std::bit_width(m_Slots.size() - 1));
    for (std::size_t I = 0; I < Blocks; ++I) {
      const std::size_t At = Begin + I * BlockBytes;
      std::uint32_t &Slot = m_Slots[slotOf(RollingHash(Text.data() + At))];
      if (Slot == 0)
        Slot = static_cast<std::uint32_t>(At + 1);
    }
  }

  /// Where the block that begins at \p Begin stands in the indexed text.
  std::optional<std::size_t> find(const RollingHash &Hash,
                                  std::string_view Block) const {
    const std::uint32_t Slot = m_Slots[slotOf(Hash)];
    if (Slot == 0 || m_Text.substr(Slot - 1, BlockBytes) != Block)
      return std::nullopt;
    return Slot - 1;
  }

private:
  std::size_t slotOf(const RollingHash &Hash) const {
    // The high bits of a product depend on all bits of the hash.
    return m_Shift >= 32 ? 0 : (Hash.value() * 0x9E3779B1U) >> m_Shift;
  }

  std::string_view m_Text;
  std::vector<std::uint32_t> m_Slots; ///< Position plus one; zero: none.
  int m_Shift = 0;
};

std::size_t equalPrefix(std::string_view Left, std::string_view Right) {
  const auto Ends =
      std::mismatch(Left.begin(), Left.end(), Right.begin(), Right.end());
  return static_cast<std::size_t>(Ends.first - Left.begin());
}

std::size_t equalSuffix(std::string_view Left, std::string_view Right) {
  const auto Ends =
      std::mismatch(Left.rbegin(), Left.rend(), Right.rbegin(), Right.rend());
  return static_cast<std::size_t>(Ends.first - Left.rbegin());
}

/// Operations: a number whose lowest bit says copy, the other bits how many
/// bytes; then the position of a copy, or the bytes.
class OperationWriter {
public:
  explicit OperationWriter(std::string_view Target) : m_Target(Target) {}

  /// The next bytes of the target up to \p At are new, and \p Length bytes from
  /// there on stand at \p From in the base.
  void copy(std::size_t At, std::size_t From, std::size_t Length) {
    insertUpTo(At);
    if (Length == 0)
      return;
    appendNumber(m_Operations, Length << 1U | 1U);
    appendNumber(m_Operations, From);
    m_Written = At + Length;
  }
  std::string finish() {
    insertUpTo(m_Target.size());
    return std::move(m_Operations);
  }
  std::size_t written() const { return m_Written; }

private:
  void insertUpTo(std::size_t End) {
    if (End <= m_Written)
      return;
    appendNumber(m_Operations, (End - m_Written) << 1U);
    m_Operations += m_Target.substr(m_Written, End - m_Written);
    m_Written = End;
  }

  std::string_view m_Target;
  std::string m_Operations;
  std::size_t m_Written = 0;
};

std::string operationsOf(std::string_view Base, std::string_view Target) {
  OperationWriter Writer(Target);
  const std::size_t Prefix = equalPrefix(Base, Target);
  Writer.copy(0, 0, Prefix);
  const std::size_t Suffix =
      equalSuffix(Base.substr(Prefix), Target.substr(Prefix));
  const std::size_t BaseEnd = Base.size() - Suffix;
  const std::size_t End = Target.size() - Suffix;
  if (BaseEnd - Prefix >= BlockBytes && End - Prefix >= BlockBytes) {
    const BlockIndex Index(Base, Prefix, BaseEnd);
    std::size_t At = Prefix;
    RollingHash Hash(Target.data() + At);
    while (true) {
      const auto Found = Index.find(Hash, Target.substr(At, BlockBytes));
      if (Found) {
        const std::size_t Back =
            equalSuffix(Base.substr(0, *Found),
                        Target.substr(Writer.written(), At - Writer.written()));
        const std::size_t Length =
            equalPrefix(Base.substr(*Found), Target.substr(At, End - At));
        Writer.copy(At - Back, *Found - Back, Back + Length);
        At += Length;
        if (End - At < BlockBytes)
          break;
        Hash = RollingHash(Target.data() + At);
        continue;
      }
      if (End - At <= BlockBytes)
        break;
      Hash.roll(Target[At], Target[At + BlockBytes]);
      ++At;
    }
  }
  Writer.copy(End, BaseEnd, Suffix);
  return Writer.finish();
}

/// Empty if \p MaxBytes are too few.
std::optional<std::string> deflated(std::string_view Plain,
                                    std::size_t MaxBytes) {
  zlib::deflate_stream Stream;
  Stream.reset(CompressionLevel, WindowBits, DeflateMemoryLevel,
               zlib::Strategy::normal);
  std::string Out(MaxBytes, '\0');
  zlib::z_params Buffers;
  Buffers.next_in = Plain.data();
  Buffers.avail_in = Plain.size();
  Buffers.next_out = Out.data();
  Buffers.avail_out = Out.size();
  boost::system::error_code Error;
  Stream.write(Buffers, zlib::Flush::finish, Error);
  if (Error != zlib::error::end_of_stream)
    return std::nullopt;
  Out.resize(Buffers.total_out);
  return Out;
}

std::string deflated(std::string_view Plain) {
  // Stored blocks take 5 bytes for each 64 KB.
  std::size_t MaxBytes = Plain.size() + Plain.size() / 1024 + 64;
  auto Packed = deflated(Plain, MaxBytes);
  for (; !Packed; MaxBytes *= 2)
    Packed = deflated(Plain, MaxBytes);
  return std::move(*Packed);
}

/// Empty unless \p Packed holds exactly \p Bytes bytes.
std::optional<std::string> inflated(std::string_view Packed,
                                    std::size_t Bytes) {
  // The stream looks ahead for the longest code, also at its last one.
  std::string Padded(Packed);
  Padded.append(PaddingBytes, '\0');
  zlib::inflate_stream Stream;
  Stream.reset(WindowBits);
  std::string Out(Bytes + 1, '\0'); // One more shows that there is no more.
  zlib::z_params Buffers;
  Buffers.next_in = Padded.data();
  Buffers.avail_in = Padded.size();
  Buffers.next_out = Out.data();
  Buffers.avail_out = Out.size();
  boost::system::error_code Error;
  Stream.write(Buffers, zlib::Flush::sync, Error);
  if (Error != zlib::error::end_of_stream || Buffers.total_out != Bytes ||
      Buffers.avail_in > PaddingBytes)
    return std::nullopt;
  Out.resize(Bytes);
  return Out;
}

/// Replays \p Operations.
std::optional<std::string> replay(std::string_view Base,
                                  std::string_view Operations,
                                  std::size_t TargetBytes) {
  std::string Target;
  Target.reserve(TargetBytes);
  while (!Operations.empty()) {
    const auto Code = takeNumber(Operations);
    if (!Code)
      return std::nullopt;
    const std::uint64_t Length = *Code >> 1U;
    if (Length > TargetBytes - Target.size())
      return std::nullopt;
    if (*Code & 1U) {
      const auto From = takeNumber(Operations);
      if (!From || *From > Base.size() || Length > Base.size() - *From)
        return std::nullopt;
      Target += Base.substr(*From, Length);
    } else {
      if (Length > Operations.size())
        return std::nullopt;
      Target += Operations.substr(0, Length);
      Operations.remove_prefix(Length);
    }
  }
  if (Target.size() != TargetBytes)
    return std::nullopt;
  return Target;
}

} // namespace

std::string encodeDifference(std::string_view Base, std::string_view Target) {
  const std::string Operations = operationsOf(Base, Target);
  std::string Out(1, FormatVersion);
  appendNumber(Out, Base.size());
  appendNumber(Out, Target.size());
  appendNumber(Out, Operations.size());
  const std::string Packed = deflated(Operations);
  appendNumber(Out, Packed.size());
  return Out + Packed;
}

std::optional<std::string> applyDifference(std::string_view Base,
                                           std::string_view Difference,
                                           std::size_t MaxBytes) {
  if (Difference.empty() || Difference.front() != FormatVersion)
    return std::nullopt;
  Difference.remove_prefix(1);
  const auto BaseBytes = takeNumber(Difference);
  const auto TargetBytes = takeNumber(Difference);
  const auto OperationBytes = takeNumber(Difference);
  const auto PackedBytes = takeNumber(Difference);
  if (!BaseBytes || !TargetBytes || !OperationBytes ||
      PackedBytes != Difference.size())
    return std::nullopt;
  // One that copies nothing fits any text.
  if (*BaseBytes == 0)
    Base = {};
  if (*BaseBytes != Base.size() || *TargetBytes > MaxBytes ||
      *OperationBytes > 2 * MaxBytes)
    return std::nullopt;
  const auto Operations = inflated(Difference, *OperationBytes);
  if (!Operations)
    return std::nullopt;
  return replay(Base, *Operations, *TargetBytes);
}

} // namespace psp::fleet
