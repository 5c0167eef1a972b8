/// \file
/// Finds the programs that need this instance as their owner: at the start,
/// when another instance of the data centre died or left, and when the data
/// centre takes a home over. Without it, engine memory of programs whose owner
/// died would stay held until a caller asks for them again.

#ifndef PSP_ENTRY_ADOPTION_H
#define PSP_ENTRY_ADOPTION_H

#include "base/Ids.h"
#include "base/Time.h"
#include "entry/OwnerDirectory.h"
#include "messages/Outbox.h"
#include "program/ProgramTable.h"

#include <vector>

namespace psp::entry {

/// What the choice of owners rests on.
struct OwnershipView {
  std::vector<base::InstanceId> m_Entries; ///< Active, of this data centre.
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
  base::InstanceId m_Self;
  const OwnerDirectory &m_Owners;
  program::ProgramTable &m_Programs;
  OwnershipView m_Listed; ///< The view at the last listing.
  base::TimePoint m_NextList;
};

} // namespace psp::entry

#endif
