/// \file
/// Finds the programs that this instance must adopt as their owner: at startup,
/// when another instance of the data centre fails or leaves, and when the data
/// centre takes over a home. Without adoption, engines would keep the memory of
/// programs whose owner failed until a caller uses the programs again.
///
/// A program isn't adopted while the instance that last owned it is reachable,
/// even if that instance is stopping: opening the program here would fence off
/// that instance and interrupt the call that it is still finishing.

#ifndef PSP_ENTRY_ADOPTION_H
#define PSP_ENTRY_ADOPTION_H

#include "base/Ids.h"
#include "base/Time.h"
#include "entry/OwnerDirectory.h"
#include "messages/Outbox.h"
#include "program/ProgramTable.h"

#include <vector>

namespace psp::entry {

/// The inputs that determine which programs this instance owns.
struct OwnershipView {
  std::vector<base::InstanceId> m_ReachableEntries;
  std::vector<base::DataCentreId> m_Homes; ///< Served by this data centre.
  std::vector<base::InstanceId> m_Ledgers; ///< Reachable, nearest first.

  auto operator<=>(const OwnershipView &) const = default;
};

class Adoption {
public:
  Adoption(base::InstanceId Self, const OwnerDirectory &Owners,
           program::ProgramTable &Programs);

  void onTick(const OwnershipView &View, base::Now Time, messages::Outbox &Out);

private:
  bool isOrphan(const program::ListedProgram &Listed, const OwnershipView &View,
                base::TimePoint Now) const;

  base::InstanceId m_Self;
  const OwnerDirectory &m_Owners;
  program::ProgramTable &m_Programs;
  OwnershipView m_LastView; ///< The view at the last listing.
  base::TimePoint m_NextListing;
};

} // namespace psp::entry

#endif
