/// \file
/// The faults found in a settings file or a control document. All faults of a
/// file are reported together, so that one start shows everything to correct.

#ifndef PSP_SETTINGS_SETTINGSERROR_H
#define PSP_SETTINGS_SETTINGSERROR_H

#include "base/Error.h"

#include <string>
#include <vector>

namespace psp::settings {

/// One fault and its location.
struct Fault {
  std::string m_File;
  int m_Line = 0;      ///< Starting at 1; 0 means the whole file.
  std::string m_Field; ///< Path of the field, such as `peers[2].address`.
  std::string m_Message;

  /// Example: `entry.yaml:4: heartbeat_interval: expected a duration ...`
  std::string str() const;
  auto operator<=>(const Fault &) const = default;
};

/// Thrown with all faults of a file; its message has one line per fault.
class SettingsError : public base::UserError {
public:
  explicit SettingsError(std::vector<Fault> Faults);

  const std::vector<Fault> &faults() const { return m_Faults; }

private:
  std::vector<Fault> m_Faults;
};

/// Throws SettingsError when \p Faults is not empty.
void throwFaults(std::vector<Fault> Faults);

} // namespace psp::settings

#endif
