#include "storage/SnapshotFile.h"

#include "base/Error.h"
#include "storage/Bytes.h"
#include "storage/File.h"

namespace psp::storage {

namespace {

constexpr std::string_view Magic = "pspsnap1";
constexpr std::size_t ChecksumOffset = Magic.size();
constexpr std::size_t CoveredOffset = ChecksumOffset + 4;
constexpr std::size_t HeaderBytes = CoveredOffset + 8;

} // namespace

std::string encodeSnapshot(std::uint64_t Covered, std::string_view Data) {
  std::string Checksummed;
  putInteger(Checksummed, Covered);
  Checksummed += Data;
  std::string Encoded(Magic);
  putInteger(Encoded, checksum(Checksummed));
  return Encoded + Checksummed;
}

SnapshotContent decodeSnapshot(const std::string &Name,
                               std::string_view Content) {
  bool IsValid = Content.size() >= HeaderBytes && Content.starts_with(Magic) &&
                 checksum(Content.substr(CoveredOffset)) ==
                     getInteger<std::uint32_t>(Content, ChecksumOffset);
  if (!IsValid)
    throw base::UserError(base::ErrorKind::Internal,
                          Name + ": expected a valid snapshot, found a wrong "
                                 "checksum or magic string");
  return {.m_CoveredSequence =
              getInteger<std::uint64_t>(Content, CoveredOffset),
          .m_Data = std::string(Content.substr(HeaderBytes))};
}

} // namespace psp::storage
