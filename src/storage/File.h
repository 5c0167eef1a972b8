/// \file
/// Files that last: whole writes, syncs of files and folders, and the
/// replacement of a file that either happens wholly or not at all.

#ifndef PSP_STORAGE_FILE_H
#define PSP_STORAGE_FILE_H

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace psp::storage {

/// An open file descriptor. Each failure throws UserError(Internal) that
/// names the file and the system's reason.
class File {
public:
  enum class Mode { Read, Append, CreateNew, Replace };

  File() = default;
  File(std::filesystem::path Path, Mode How);
  File(File &&Other) noexcept;
  File &operator=(File &&Other) noexcept;
  ~File();

  void write(std::string_view Data);
  void sync();
  void truncate(std::uint64_t Length);
  std::uint64_t size() const;
  /// Exactly \p Length bytes from \p Offset on.
  std::string readAt(std::uint64_t Offset, std::size_t Length) const;
  bool isOpen() const { return m_Descriptor >= 0; }

  /// Locks the file for this process; false when another one holds it.
  bool tryLock();

  const std::filesystem::path &path() const { return m_Path; }

private:
  [[noreturn]] void fail(const char *Action) const;

  std::filesystem::path m_Path;
  int m_Descriptor = -1;
};

/// The whole content of \p Path.
std::string readFile(const std::filesystem::path &Path);

/// Makes creations, renames and removals inside \p Folder last.
void syncFolder(const std::filesystem::path &Folder);

/// Creates \p Folder and its parents so that they last.
void createFolder(const std::filesystem::path &Folder);

/// Replaces \p Path by \p Data: after a crash the file holds either the old
/// content or the new one. Uses the name with ".tmp" at its end.
void replaceFile(const std::filesystem::path &Path, std::string_view Data);

/// CRC-32 of \p Data, which finds torn and damaged records.
std::uint32_t checksum(std::string_view Data);

} // namespace psp::storage

#endif
