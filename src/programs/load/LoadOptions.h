/// \file
/// What psp-load is told on its command line and in its organisations file.

#ifndef PSP_PROGRAMS_LOAD_LOADOPTIONS_H
#define PSP_PROGRAMS_LOAD_LOADOPTIONS_H

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace psp::load {

/// One organisation that sends. Its key is never printed.
struct Organisation {
  std::string m_Name;
  std::string m_Key;
  double m_Weight = 1.0; ///< Its share of the programs.
};

/// Reads lines of the form "NAME KEY [WEIGHT]"; empty lines and lines that
/// begin with # are skipped. Throws UserError when a line has another form.
std::vector<Organisation> readOrganisations(const std::string &Path);

struct LoadOptions {
  std::vector<std::string> m_Entries; ///< Caller addresses.
  std::vector<Organisation> m_Organisations;
  std::uint64_t m_Seed = 1;
  base::Duration m_Length = base::seconds(10);
  base::Duration m_DrainTime = base::seconds(30);
  base::Duration m_CallTimeout = base::seconds(60);
  std::uint64_t m_Programs = 20; ///< Under way at the same time.
  std::uint64_t m_MeanTurns = 5;
  std::uint64_t m_MaxTokens = 60; ///< Of the longest answer.
  base::Duration m_MeanPause = base::milliseconds(200);
  base::Duration m_AlarmInterval = base::milliseconds(500);
  std::string m_Model; ///< Service names; empty: none of its calls.
  std::string m_OrderService;
  std::string m_NoticeService;
  double m_StreamShare = 0.8;   ///< Of model calls.
  double m_OrderShare = 0.1;    ///< Of turns.
  double m_SubAgentShare = 0.1; ///< Of turns.
  double m_LoopShare = 0.0;     ///< Of programs.
  double m_AbandonShare = 0.05; ///< Of programs.
};

} // namespace psp::load

#endif
