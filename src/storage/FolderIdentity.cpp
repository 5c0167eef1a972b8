#include "storage/FolderIdentity.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "storage/File.h"

#include <sstream>

namespace psp::storage {

namespace {

constexpr const char *FileName = "identity";
constexpr std::size_t RandomBytes = 16;

std::string encode(const FolderIdentity &Value) {
  std::string Text = Value.m_Instance.str() + "\n" + Value.m_Identity + "\n" +
                     std::to_string(Value.m_CreatedAt) + "\n";
  return Text + std::to_string(checksum(Text)) + "\n";
}

[[noreturn]] void fail(const std::filesystem::path &Path,
                       const std::string &Message) {
  throw base::UserError(base::ErrorKind::Internal,
                        Path.string() + ": " + Message);
}

FolderIdentity decode(const std::filesystem::path &Path,
                      const std::string &Text) {
  std::istringstream In(Text);
  std::string Instance;
  FolderIdentity Value;
  std::getline(In, Instance);
  std::getline(In, Value.m_Identity);
  In >> Value.m_CreatedAt;
  Value.m_Instance = base::InstanceId(Instance);
  if (!In || encode(Value) != Text)
    fail(Path,
         "expected a complete identity, found a checksum that doesn't match");
  return Value;
}

/// Whether \p Folder holds anything but the temporary file that a crash leaves
/// while the identity is being written.
bool holdsFiles(const std::filesystem::path &Folder) {
  for (const auto &Entry : std::filesystem::directory_iterator(Folder))
    if (Entry.path().filename() != std::string(FileName) + ".tmp")
      return true;
  return false;
}

} // namespace

OpenedIdentity openFolderIdentity(const std::filesystem::path &Folder,
                                  const base::InstanceId &Instance,
                                  base::WallTime CreatedAt) {
  createFolder(Folder);
  std::filesystem::path Path = Folder / FileName;
  if (std::filesystem::exists(Path)) {
    FolderIdentity Value = decode(Path, readFile(Path));
    if (Value.m_Instance != Instance)
      fail(Path, "expected the folder of instance " + Instance.str() +
                     ", found the folder of instance " +
                     Value.m_Instance.str());
    return {.m_Identity = Value, .m_IsNew = false};
  }
  if (holdsFiles(Folder))
    fail(Path, "expected an identity file beside the other files, found none");
  FolderIdentity Value{.m_Instance = Instance,
                       .m_Identity =
                           base::toHex(base::randomBytes(RandomBytes)),
                       .m_CreatedAt = CreatedAt};
  replaceFile(Path, encode(Value));
  return {.m_Identity = Value, .m_IsNew = true};
}

} // namespace psp::storage
