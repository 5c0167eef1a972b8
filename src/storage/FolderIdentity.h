/// \file
/// The identity of a data folder. Its file is written once. A folder without it
/// is a new disk, even if the instance keeps its name.

#ifndef PSP_STORAGE_FOLDERIDENTITY_H
#define PSP_STORAGE_FOLDERIDENTITY_H

#include "base/Ids.h"
#include "base/Time.h"

#include <compare>
#include <filesystem>
#include <string>

namespace psp::storage {

struct FolderIdentity {
  base::InstanceId m_Instance;
  std::string m_Identity; ///< Random, in hexadecimal digits.
  base::WallTime m_CreatedAt = 0;

  auto operator<=>(const FolderIdentity &) const = default;
};

/// A folder's identity, and whether this call has created it.
struct OpenedIdentity {
  FolderIdentity m_Identity;
  bool m_IsNew = false;
};

/// Reads the identity of \p Folder or creates it. Throws UserError(Internal) if
/// the file is damaged, belongs to another instance, or is missing in a folder
/// that holds other files.
OpenedIdentity openFolderIdentity(const std::filesystem::path &Folder,
                                  const base::InstanceId &Instance,
                                  base::WallTime CreatedAt);

} // namespace psp::storage

#endif
