/// \file
/// Looks up the owner of a program. This is an interface so that EdgeCalls can
/// be tested without a fleet.

#ifndef PSP_ENTRY_OWNERDIRECTORY_H
#define PSP_ENTRY_OWNERDIRECTORY_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace psp::entry {

/// The instance that owns a program, in one of its incarnations.
struct Owner {
  base::InstanceId m_Instance;
  std::uint64_t m_Incarnation = 0;

  auto operator<=>(const Owner &) const = default;
};

class OwnerDirectory {
public:
  virtual ~OwnerDirectory() = default;

  /// The owner from this instance's view of the membership; none while no
  /// instance of the data centre that serves the program's home is reachable.
  virtual std::optional<Owner> ownerOf(const base::ProgramId &Program,
                                       base::TimePoint Now) const = 0;

  /// True while \p Who is reachable and has not restarted. An owner that is
  /// stopping, or that would no longer be chosen, still finishes the calls that
  /// were forwarded to it.
  virtual bool isServing(const Owner &Who, base::TimePoint Now) const = 0;
};

} // namespace psp::entry

#endif
