/// \file
/// Durable files: complete writes, syncs of files and folders, and atomic
/// replacement of a file.

#ifndef PSP_STORAGE_FILE_H
#define PSP_STORAGE_FILE_H

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace psp::storage {

/// An open file descriptor. Each failure throws UserError(Internal) with the
/// path and the system's error message.
class File {
public:
  enum class Mode { Read, Append, CreateNew, Replace };

  File() = default;
  File(std::filesystem::path Path, Mode OpenMode);
  File(File &&Other) noexcept;
  File &operator=(File &&Other) noexcept;
  ~File();

  void write(std::string_view Data);
  void sync();
  void truncate(std::uint64_t Length);
  std::uint64_t size() const;
  /// Reads exactly \p Length bytes, starting at \p Offset.
  std::string readAt(std::uint64_t Offset, std::size_t Length) const;
  bool isOpen() const { return m_Descriptor >= 0; }

  /// Locks the file for this process. Returns false if another process holds
  /// the lock.
  bool tryLock();

  const std::filesystem::path &path() const { return m_Path; }

private:
  [[noreturn]] void fail(const char *Action) const;

  std::filesystem::path m_Path;
  int m_Descriptor = -1;
};

/// Reads the complete file \p Path.
std::string readFile(const std::filesystem::path &Path);

/// Makes earlier creations, renames and removals inside \p Folder durable.
void syncFolder(const std::filesystem::path &Folder);

/// Creates \p Folder and its parents durably.
void createFolder(const std::filesystem::path &Folder);

/// Replaces the content of \p Path by \p Data. After a crash the file holds
/// either the old content or the new one. Writes a file with the suffix ".tmp"
/// first.
void replaceFile(const std::filesystem::path &Path, std::string_view Data);

/// CRC-32 of \p Data. Detects torn and damaged records.
std::uint32_t checksum(std::string_view Data);

} // namespace psp::storage

#endif
