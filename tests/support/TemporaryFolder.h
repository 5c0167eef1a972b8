/// \file
/// A folder for a test, which is removed afterwards.

#ifndef PSP_TESTS_SUPPORT_TEMPORARYFOLDER_H
#define PSP_TESTS_SUPPORT_TEMPORARYFOLDER_H

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace psp::tests {

class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "psp-test-XXXXXX").string();
    if (mkdtemp(Name.data()) == nullptr)
      throw std::runtime_error("failed to create a temporary folder");
    m_Path = Name;
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(m_Path); }

  const std::filesystem::path &path() const { return m_Path; }

private:
  std::filesystem::path m_Path;
};

} // namespace psp::tests

#endif
