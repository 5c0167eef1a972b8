#include "storage/Segment.h"

#include "base/Error.h"
#include "storage/Bytes.h"
#include "storage/File.h"

#include <optional>

namespace psp::storage {

namespace {

// Head of a batch: body length, checksum, first sequence, number of records.
// The checksum covers everything behind itself.
constexpr std::size_t ChecksumOffset = 4;
constexpr std::size_t FirstOffset = 8;
constexpr std::size_t CountOffset = 16;
constexpr std::size_t HeadBytes = 20;
static_assert(FirstRecordOffset == HeadBytes + RecordHeadBytes);

struct Batch {
  std::uint64_t m_First = 0;
  std::uint32_t m_Count = 0;
  std::string_view m_Body;
};

/// The batch at \p Offset, or nothing when there is no whole one.
std::optional<Batch> batchAt(std::string_view Content, std::size_t Offset) {
  std::string_view Rest = Content.substr(Offset);
  if (Rest.size() < HeadBytes)
    return std::nullopt;
  std::size_t Length = getInteger<std::uint32_t>(Rest);
  if (Length > MaxBatchBytes || Rest.size() - HeadBytes < Length)
    return std::nullopt;
  std::string_view Covered =
      Rest.substr(FirstOffset, HeadBytes - FirstOffset + Length);
  if (checksum(Covered) != getInteger<std::uint32_t>(Rest, ChecksumOffset))
    return std::nullopt;
  return Batch{.m_First = getInteger<std::uint64_t>(Rest, FirstOffset),
               .m_Count = getInteger<std::uint32_t>(Rest, CountOffset),
               .m_Body = Rest.substr(HeadBytes, Length)};
}

/// True when a batch that could follow \p Expected starts behind \p Offset.
bool validBatchBehind(std::string_view Content, std::size_t Offset,
                      std::uint64_t Expected) {
  // A batch holds fewer records than it has bytes, so later sequences in this
  // file are bounded; the bound spares most checksums.
  std::uint64_t Highest = Expected + Content.size();
  for (std::size_t At = Offset + 1; At + HeadBytes <= Content.size(); ++At) {
    auto First = getInteger<std::uint64_t>(Content, At + FirstOffset);
    if (First > Expected && First <= Highest && batchAt(Content, At))
      return true;
  }
  return false;
}

[[noreturn]] void refuse(const std::string &Name, std::size_t Offset,
                         const std::string &Found) {
  throw base::UserError(base::ErrorKind::Internal,
                        Name + " at offset " + std::to_string(Offset) +
                            ": expected synced records, found " + Found);
}

void handOn(const Batch &Whole, std::uint64_t Covered, const std::string &Name,
            std::size_t Offset, const SegmentHandler &Handle) {
  std::string_view Rest = Whole.m_Body;
  for (std::uint32_t I = 0; I < Whole.m_Count; ++I) {
    if (Rest.size() < RecordHeadBytes ||
        Rest.size() - RecordHeadBytes < getInteger<std::uint32_t>(Rest))
      refuse(Name, Offset, "a record longer than its batch");
    std::size_t Length = getInteger<std::uint32_t>(Rest);
    if (Whole.m_First + I > Covered)
      Handle({.m_Sequence = Whole.m_First + I,
              .m_Offset = Offset + HeadBytes + Whole.m_Body.size() -
                          Rest.size() + RecordHeadBytes,
              .m_Bytes = Rest.substr(RecordHeadBytes, Length)});
    Rest.remove_prefix(RecordHeadBytes + Length);
  }
  if (!Rest.empty())
    refuse(Name, Offset, "bytes behind the batch's last record");
}

} // namespace

std::string encodeBatch(std::uint64_t First,
                        const std::vector<std::string> &Records) {
  std::string Covered;
  putInteger(Covered, First);
  putInteger(Covered, static_cast<std::uint32_t>(Records.size()));
  std::size_t Length = 0;
  for (const std::string &Record : Records) {
    putInteger(Covered, static_cast<std::uint32_t>(Record.size()));
    Covered += Record;
    Length += RecordHeadBytes + Record.size();
  }
  base::checkInvariant(Length <= MaxBatchBytes, "a batch is too long");
  std::string Whole;
  putInteger(Whole, static_cast<std::uint32_t>(Length));
  putInteger(Whole, checksum(Covered));
  return Whole + Covered;
}

SegmentContent readSegment(const std::string &Name, std::string_view Content,
                           std::uint64_t First, std::uint64_t Covered,
                           const SegmentHandler &Handle) {
  SegmentContent Result{.m_NextSequence = First, .m_ValidBytes = 0};
  while (Result.m_ValidBytes < Content.size()) {
    std::size_t Offset = Result.m_ValidBytes;
    std::optional<Batch> Next = batchAt(Content, Offset);
    if (!Next) {
      if (validBatchBehind(Content, Offset, Result.m_NextSequence))
        refuse(Name, Offset, "a bad checksum before valid records");
      return Result;
    }
    if (Next->m_First != Result.m_NextSequence)
      refuse(Name, Offset,
             "sequence " + std::to_string(Next->m_First) + " in place of " +
                 std::to_string(Result.m_NextSequence));
    handOn(*Next, Covered, Name, Offset, Handle);
    Result.m_NextSequence += Next->m_Count;
    Result.m_ValidBytes += HeadBytes + Next->m_Body.size();
  }
  return Result;
}

} // namespace psp::storage
