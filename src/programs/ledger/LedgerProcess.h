/// \file
/// A ledger as a process: one thread each for peers, decisions, the disk and
/// operators, joined by bounded rings.

#ifndef PSP_PROGRAMS_LEDGER_LEDGERPROCESS_H
#define PSP_PROGRAMS_LEDGER_LEDGERPROCESS_H

#include "settings/Settings.h"

#include <memory>

namespace psp::ledger {

class LedgerProcess {
public:
  /// Opens the data folder and binds the addresses. Throws UserError when a
  /// file is damaged or an address is taken.
  explicit LedgerProcess(settings::LedgerSettings Settings);
  LedgerProcess(const LedgerProcess &) = delete;
  LedgerProcess &operator=(const LedgerProcess &) = delete;
  ~LedgerProcess();

  /// Serves until stop() is called from another thread.
  void run();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace psp::ledger

#endif
