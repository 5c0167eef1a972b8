#include "storage/File.h"

#include "base/Error.h"

#include <boost/crc.hpp>

#include <cerrno>
#include <cstring>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace psp::storage {

namespace {

[[noreturn]] void throwFileError(const std::filesystem::path &Path,
                                 const char *Action, int Error) {
  throw base::UserError(base::ErrorKind::Internal,
                        Path.string() + ": expected to " + Action + ", found " +
                            std::strerror(Error));
}

int openFlags(File::Mode OpenMode) {
  switch (OpenMode) {
  case File::Mode::Read:
    return O_RDONLY;
  case File::Mode::Append:
    return O_WRONLY | O_APPEND | O_CREAT;
  case File::Mode::CreateNew:
    return O_WRONLY | O_APPEND | O_CREAT | O_EXCL;
  case File::Mode::Replace:
    return O_WRONLY | O_CREAT | O_TRUNC;
  }
  return O_RDONLY;
}

constexpr mode_t OwnerOnly = 0600;

} // namespace

File::File(std::filesystem::path Path, Mode OpenMode)
    : m_Path(std::move(Path)) {
  m_Descriptor =
      ::open(m_Path.c_str(), openFlags(OpenMode) | O_CLOEXEC, OwnerOnly);
  if (m_Descriptor < 0)
    fail("open it");
}

File::File(File &&Other) noexcept
    : m_Path(std::move(Other.m_Path)),
      m_Descriptor(std::exchange(Other.m_Descriptor, -1)) {}

File &File::operator=(File &&Other) noexcept {
  std::swap(m_Path, Other.m_Path);
  std::swap(m_Descriptor, Other.m_Descriptor);
  return *this;
}

File::~File() {
  if (m_Descriptor >= 0)
    ::close(m_Descriptor);
}

void File::fail(const char *Action) const {
  throwFileError(m_Path, Action, errno);
}

void File::write(std::string_view Data) {
  while (!Data.empty()) {
    ssize_t Written = ::write(m_Descriptor, Data.data(), Data.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      fail("write to it");
    Data.remove_prefix(static_cast<std::size_t>(Written));
  }
}

void File::sync() {
  if (::fdatasync(m_Descriptor) != 0)
    fail("sync it");
}

void File::truncate(std::uint64_t Length) {
  if (::ftruncate(m_Descriptor, static_cast<off_t>(Length)) != 0)
    fail("truncate it");
}

std::uint64_t File::size() const {
  struct stat Status {};
  if (::fstat(m_Descriptor, &Status) != 0)
    fail("read its size");
  return static_cast<std::uint64_t>(Status.st_size);
}

std::string File::readAt(std::uint64_t Offset, std::size_t Length) const {
  std::string Content(Length, '\0');
  std::size_t BytesRead = 0;
  while (BytesRead < Length) {
    const ssize_t Count =
        ::pread(m_Descriptor, Content.data() + BytesRead, Length - BytesRead,
                static_cast<off_t>(Offset + BytesRead));
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      fail("read from it");
    if (Count == 0)
      throwFileError(m_Path, "read from it", ENODATA);
    BytesRead += static_cast<std::size_t>(Count);
  }
  return Content;
}

bool File::tryLock() {
  if (::flock(m_Descriptor, LOCK_EX | LOCK_NB) == 0)
    return true;
  if (errno == EWOULDBLOCK)
    return false;
  fail("lock it");
}

std::string readFile(const std::filesystem::path &Path) {
  int Descriptor = ::open(Path.c_str(), O_RDONLY | O_CLOEXEC);
  if (Descriptor < 0)
    throwFileError(Path, "open it", errno);
  std::string Content;
  std::string Block(1U << 20U, '\0');
  ssize_t Count = 0;
  do {
    Count = ::read(Descriptor, Block.data(), Block.size());
    if (Count > 0)
      Content.append(Block, 0, static_cast<std::size_t>(Count));
  } while (Count > 0 || (Count < 0 && errno == EINTR));
  int Error = errno;
  ::close(Descriptor);
  if (Count < 0)
    throwFileError(Path, "read it", Error);
  return Content;
}

void syncFolder(const std::filesystem::path &Folder) {
  int Descriptor = ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Descriptor < 0)
    throwFileError(Folder, "open the folder", errno);
  int Result = ::fsync(Descriptor);
  int Error = errno;
  ::close(Descriptor);
  if (Result != 0)
    throwFileError(Folder, "sync the folder", Error);
}

void createFolder(const std::filesystem::path &Folder) {
  std::filesystem::path Absolute = std::filesystem::absolute(Folder);
  if (std::filesystem::is_directory(Absolute))
    return;
  createFolder(Absolute.parent_path());
  std::filesystem::create_directory(Absolute);
  syncFolder(Absolute.parent_path());
}

void replaceFile(const std::filesystem::path &Path, std::string_view Data) {
  std::filesystem::path Temporary = Path;
  Temporary += ".tmp";
  {
    File Out(Temporary, File::Mode::Replace);
    Out.write(Data);
    Out.sync();
  }
  std::filesystem::rename(Temporary, Path);
  syncFolder(Path.parent_path());
}

std::uint32_t checksum(std::string_view Data) {
  boost::crc_32_type Crc;
  Crc.process_bytes(Data.data(), Data.size());
  return Crc.checksum();
}

} // namespace psp::storage
