/// \file
/// An entry instance as a process: one thread each for callers, peers,
/// endpoints, decisions and operators, joined by bounded rings.

#ifndef PSP_PROGRAMS_ENTRY_ENTRYPROCESS_H
#define PSP_PROGRAMS_ENTRY_ENTRYPROCESS_H

#include "settings/Settings.h"

#include <memory>

namespace psp::entry {

class EntryProcess {
public:
  /// Throws UserError when an address is taken.
  explicit EntryProcess(settings::EntrySettings Settings);
  EntryProcess(const EntryProcess &) = delete;
  EntryProcess &operator=(const EntryProcess &) = delete;
  ~EntryProcess();

  /// Serves until stop() is called from another thread and every call under
  /// way has been answered, or the drain timeout has passed.
  void run();
  void stop();

  /// Writes the state to the log folder, or to the log itself without one.
  void writeDump();

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace psp::entry

#endif
