/// \file
/// Exceptions. A UserError is caused by input and is answered; an
/// InternalError means that this program is wrong and ends the process. Both
/// messages say what was expected and what was found.

#ifndef PSP_BASE_ERROR_H
#define PSP_BASE_ERROR_H

#include "base/ErrorKind.h"

#include <stdexcept>
#include <string>

namespace psp::base {

/// Bad input from a caller, an operator, a peer or a file.
class UserError : public std::runtime_error {
public:
  UserError(ErrorKind Kind, const std::string &Message)
      : std::runtime_error(Message), m_Kind(Kind) {}

  ErrorKind kind() const { return m_Kind; }

private:
  ErrorKind m_Kind;
};

/// A broken invariant of this program.
class InternalError : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

/// Throws InternalError with \p Message unless \p Holds. Active in release
/// builds too.
///
/// Example: `checkInvariant(Spent <= Budget, "spent more than the budget");`
inline void checkInvariant(bool Holds, const char *Message) {
  if (!Holds)
    throw InternalError(Message);
}

} // namespace psp::base

#endif
