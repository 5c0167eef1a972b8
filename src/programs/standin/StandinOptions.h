/// \file
/// What psp-standin is told on its command line and, for the faults, at run
/// time.

#ifndef PSP_PROGRAMS_STANDIN_STANDINOPTIONS_H
#define PSP_PROGRAMS_STANDIN_STANDINOPTIONS_H

#include "base/Time.h"
#include "bench/BatchEngine.h"

#include <cstdint>
#include <string>
#include <vector>

namespace psp::standin {

/// Faults that can be switched on. Zero switches a fault off.
struct Faults {
  std::uint64_t m_FailEvery = 0; ///< Each n-th call is refused with 500.
  std::uint64_t m_HangEvery = 0; ///< Each n-th call runs and isn't answered.
  base::Duration m_Late{};       ///< Added before each call is run.
  std::uint64_t m_DropAfterBytes = 0; ///< Of body; then the connection closes.

  bool operator==(const Faults &) const = default;
};

struct StandinOptions {
  std::string m_Id;
  std::string m_Kind; ///< model, plain, order or notice.
  std::vector<std::string> m_Services;
  std::string m_ListenIp;
  std::uint16_t m_ListenPort = 0;
  std::vector<std::string> m_EntryAddresses;
  std::string m_DataCentre;
  std::string m_LedgerFile;
  bool m_ChecksFencing = false;
  std::uint64_t m_CacheTokens = 0;
  base::Duration m_ServiceTime{};
  bench::BatchEngineOptions m_Engine;
  Faults m_Faults;
};

} // namespace psp::standin

#endif
