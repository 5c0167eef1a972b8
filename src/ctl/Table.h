/// \file
/// Plain text tables for a terminal.

#ifndef PSP_CTL_TABLE_H
#define PSP_CTL_TABLE_H

#include <json/value.h>

#include <string>
#include <vector>

namespace psp::ctl {

/// Rows of cells under a row of titles; columns are padded to the widest.
class Table {
public:
  explicit Table(std::vector<std::string> Titles);

  void add(std::vector<std::string> Cells);
  std::string str() const;

private:
  std::vector<std::vector<std::string>> m_Rows; ///< The titles come first.
};

/// A table of the array \p Items, with one column for each of \p Members.
std::string makeTable(const Json::Value &Items,
                      const std::vector<std::string> &Members);

/// A member as one cell: text without quotes, lists joined by commas.
std::string cellText(const Json::Value &Value);

/// `2026-12-04T02:50:00Z` for microseconds since 1970.
std::string wallTimeText(std::uint64_t Micros);

} // namespace psp::ctl

#endif
