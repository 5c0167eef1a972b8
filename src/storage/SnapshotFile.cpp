#include "storage/SnapshotFile.h"

#include "base/Error.h"
#include "storage/Bytes.h"
#include "storage/File.h"

namespace psp::storage {

namespace {

constexpr std::string_view Mark = "pspsnap1";
constexpr std::size_t ChecksumOffset = Mark.size();
constexpr std::size_t CoveredOffset = ChecksumOffset + 4;
constexpr std::size_t HeadBytes = CoveredOffset + 8;

} // namespace

std::string encodeSnapshot(std::uint64_t Covered, std::string_view Data) {
  std::string Summed;
  putInteger(Summed, Covered);
  Summed += Data;
  std::string Whole(Mark);
  putInteger(Whole, checksum(Summed));
  return Whole + Summed;
}

SnapshotContent decodeSnapshot(const std::string &Name,
                               std::string_view Content) {
  bool IsWhole = Content.size() >= HeadBytes && Content.starts_with(Mark) &&
                 checksum(Content.substr(CoveredOffset)) ==
                     getInteger<std::uint32_t>(Content, ChecksumOffset);
  if (!IsWhole)
    throw base::UserError(base::ErrorKind::Internal,
                          Name + ": expected a whole snapshot, found a bad "
                                 "checksum or mark");
  return {.m_Covered = getInteger<std::uint64_t>(Content, CoveredOffset),
          .m_Data = std::string(Content.substr(HeadBytes))};
}

} // namespace psp::storage
