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
                     std::to_string(Value.m_Created) + "\n";
  return Text + std::to_string(checksum(Text)) + "\n";
}

[[noreturn]] void refuse(const std::filesystem::path &Path,
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
  In >> Value.m_Created;
  Value.m_Instance = base::InstanceId(Instance);
  if (!In || encode(Value) != Text)
    refuse(Path, "expected a whole identity, found a bad checksum");
  return Value;
}

/// True when \p Folder holds anything but a file that a crash left behind
/// while the identity was being written.
bool holdsFiles(const std::filesystem::path &Folder) {
  for (const auto &Entry : std::filesystem::directory_iterator(Folder))
    if (Entry.path().filename() != std::string(FileName) + ".tmp")
      return true;
  return false;
}

} // namespace

OpenedIdentity openFolderIdentity(const std::filesystem::path &Folder,
                                  const base::InstanceId &Instance,
                                  base::WallTime Created) {
  createFolder(Folder);
  std::filesystem::path Path = Folder / FileName;
  if (std::filesystem::exists(Path)) {
    FolderIdentity Value = decode(Path, readFile(Path));
    if (Value.m_Instance != Instance)
      refuse(Path, "expected the folder of " + Instance.str() +
                       ", found that of " + Value.m_Instance.str());
    return {.m_Identity = Value, .m_IsNew = false};
  }
  if (holdsFiles(Folder))
    refuse(Path, "expected an identity beside the other files, found none");
  FolderIdentity Value{.m_Instance = Instance,
                       .m_Identity =
                           base::toHex(base::randomBytes(RandomBytes)),
                       .m_Created = Created};
  replaceFile(Path, encode(Value));
  return {.m_Identity = Value, .m_IsNew = true};
}

} // namespace psp::storage
