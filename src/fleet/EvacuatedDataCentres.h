/// \file
/// The data centres whose endpoints get nothing new, as far as one process has
/// been told.

#ifndef PSP_FLEET_EVACUATEDDATACENTRES_H
#define PSP_FLEET_EVACUATEDDATACENTRES_H

#include "generated/fleet.pb.h"

#include <cstdint>
#include <set>
#include <string>

namespace psp::fleet {

/// Load pattern: an operator empties data centres and takes them back, several
/// at once and in quick succession, and every control node tells every
/// instance, late after an interruption. The revision is that of the control
/// group's log, so all processes end with the same set whatever the order of
/// arrival.
class EvacuatedDataCentres {
public:
  /// Takes over what \p Update says, unless it is older than what is known.
  /// Returns true if the set has changed.
  bool merge(const messages::fleet::ConfigurationUpdate &Update);

  bool contains(const std::string &DataCentre) const {
    return m_Names.contains(DataCentre);
  }
  bool empty() const { return m_Names.empty(); }
  const std::set<std::string> &names() const { return m_Names; }
  std::uint64_t revision() const { return m_Revision; }
  /// The names, with commas between them.
  std::string text() const;

  bool operator==(const EvacuatedDataCentres &) const = default;

private:
  std::set<std::string> m_Names;
  std::uint64_t m_Revision = 0; ///< Zero: nothing is known.
};

} // namespace psp::fleet

#endif
