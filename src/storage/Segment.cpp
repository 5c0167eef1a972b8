#include "storage/Segment.h"

#include "base/Error.h"
#include "storage/Bytes.h"
#include "storage/File.h"

#include <optional>

namespace psp::storage {

namespace {

// Header of a batch: body length, checksum, first sequence, number of records.
// The checksum covers everything that follows it.
constexpr std::size_t ChecksumOffset = 4;
constexpr std::size_t FirstOffset = 8;
constexpr std::size_t CountOffset = 16;
constexpr std::size_t HeaderBytes = 20;
static_assert(FirstRecordOffset == HeaderBytes + RecordHeaderBytes);

struct Batch {
  std::uint64_t m_First = 0;
  std::uint32_t m_Count = 0;
  std::string_view m_Body;
};

/// Returns the batch at \p Offset, or nothing if there is no valid one.
std::optional<Batch> batchAt(std::string_view Content, std::size_t Offset) {
  std::string_view Rest = Content.substr(Offset);
  if (Rest.size() < HeaderBytes)
    return std::nullopt;
  std::size_t Length = getInteger<std::uint32_t>(Rest);
  if (Length > MaxBatchBytes || Rest.size() - HeaderBytes < Length)
    return std::nullopt;
  std::string_view Checksummed =
      Rest.substr(FirstOffset, HeaderBytes - FirstOffset + Length);
  if (checksum(Checksummed) != getInteger<std::uint32_t>(Rest, ChecksumOffset))
    return std::nullopt;
  return Batch{.m_First = getInteger<std::uint64_t>(Rest, FirstOffset),
               .m_Count = getInteger<std::uint32_t>(Rest, CountOffset),
               .m_Body = Rest.substr(HeaderBytes, Length)};
}

/// Whether a valid batch with a sequence above \p Expected follows \p Offset.
bool hasValidBatchAfter(std::string_view Content, std::size_t Offset,
                        std::uint64_t Expected) {
  // A batch holds fewer records than bytes, so the sequences of later batches
  // in this file are bounded. Checking the bound first avoids most checksums.
  std::uint64_t MaxSequence = Expected + Content.size();
  for (std::size_t At = Offset + 1; At + HeaderBytes <= Content.size(); ++At) {
    auto First = getInteger<std::uint64_t>(Content, At + FirstOffset);
    if (First > Expected && First <= MaxSequence && batchAt(Content, At))
      return true;
  }
  return false;
}

[[noreturn]] void fail(const std::string &Name, std::size_t Offset,
                       const std::string &Problem) {
  throw base::UserError(base::ErrorKind::Internal,
                        Name + " at offset " + std::to_string(Offset) +
                            ": expected synced records, found " + Problem);
}

void passRecords(const Batch &Source, std::uint64_t Covered,
                 const std::string &Name, std::size_t Offset,
                 const SegmentHandler &Handle) {
  std::string_view Rest = Source.m_Body;
  for (std::uint32_t I = 0; I < Source.m_Count; ++I) {
    if (Rest.size() < RecordHeaderBytes ||
        Rest.size() - RecordHeaderBytes < getInteger<std::uint32_t>(Rest))
      fail(Name, Offset, "a record longer than its batch");
    std::size_t Length = getInteger<std::uint32_t>(Rest);
    if (Source.m_First + I > Covered)
      Handle({.m_Sequence = Source.m_First + I,
              .m_Offset = Offset + HeaderBytes + Source.m_Body.size() -
                          Rest.size() + RecordHeaderBytes,
              .m_Bytes = Rest.substr(RecordHeaderBytes, Length)});
    Rest.remove_prefix(RecordHeaderBytes + Length);
  }
  if (!Rest.empty())
    fail(Name, Offset, "bytes after the batch's last record");
}

} // namespace

std::string encodeBatch(std::uint64_t First,
                        const std::vector<std::string> &Records) {
  std::string Checksummed;
  putInteger(Checksummed, First);
  putInteger(Checksummed, static_cast<std::uint32_t>(Records.size()));
  std::size_t Length = 0;
  for (const std::string &Record : Records) {
    putInteger(Checksummed, static_cast<std::uint32_t>(Record.size()));
    Checksummed += Record;
    Length += RecordHeaderBytes + Record.size();
  }
  base::checkInvariant(Length <= MaxBatchBytes,
                       "journal: a batch exceeds its limit");
  std::string Header;
  putInteger(Header, static_cast<std::uint32_t>(Length));
  putInteger(Header, checksum(Checksummed));
  return Header + Checksummed;
}

SegmentContent readSegment(const std::string &Name, std::string_view Content,
                           std::uint64_t First, std::uint64_t Covered,
                           const SegmentHandler &Handle) {
  SegmentContent Result{.m_NextSequence = First, .m_ValidBytes = 0};
  while (Result.m_ValidBytes < Content.size()) {
    std::size_t Offset = Result.m_ValidBytes;
    std::optional<Batch> Next = batchAt(Content, Offset);
    if (!Next) {
      if (hasValidBatchAfter(Content, Offset, Result.m_NextSequence))
        fail(Name, Offset, "an invalid batch before a valid one");
      return Result;
    }
    if (Next->m_First != Result.m_NextSequence)
      fail(Name, Offset,
           "sequence " + std::to_string(Next->m_First) + " instead of " +
               std::to_string(Result.m_NextSequence));
    passRecords(*Next, Covered, Name, Offset, Handle);
    Result.m_NextSequence += Next->m_Count;
    Result.m_ValidBytes += HeaderBytes + Next->m_Body.size();
  }
  return Result;
}

} // namespace psp::storage
