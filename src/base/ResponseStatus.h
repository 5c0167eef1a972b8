/// \file
/// Which HTTP statuses a response may have.

#ifndef PSP_BASE_RESPONSESTATUS_H
#define PSP_BASE_RESPONSESTATUS_H

namespace psp::base {

enum class StatusUse {
  Interim, ///< Another response follows.
  Final,   ///< The response to the request.
  Invalid, ///< No response: the other side is faulty.
};

/// How a head with \p Status is to be taken. Nobody asks to switch protocols,
/// so 101 is invalid.
StatusUse statusUse(unsigned Status);

} // namespace psp::base

#endif
