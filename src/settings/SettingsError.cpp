#include "settings/SettingsError.h"

#include <utility>

namespace psp::settings {
namespace {

std::string joinFaults(const std::vector<Fault> &Faults) {
  std::string Text;
  for (const Fault &Entry : Faults) {
    if (!Text.empty())
      Text += '\n';
    Text += Entry.str();
  }
  return Text;
}

} // namespace

std::string Fault::str() const {
  std::string Text = m_File;
  if (m_Line > 0)
    Text += ":" + std::to_string(m_Line);
  Text += ": ";
  if (!m_Field.empty())
    Text += m_Field + ": ";
  return Text + m_Message;
}

SettingsError::SettingsError(std::vector<Fault> Faults)
    : base::UserError(base::ErrorKind::InvalidConfiguration,
                      joinFaults(Faults)),
      m_Faults(std::move(Faults)) {}

void throwFaults(std::vector<Fault> Faults) {
  if (!Faults.empty())
    throw SettingsError(std::move(Faults));
}

} // namespace psp::settings
