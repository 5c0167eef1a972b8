/// \file
/// The producer's end of a bounded ring for values that must not be lost: a
/// full ring leaves them waiting here, in order, until there is room.

#ifndef PSP_BASE_RINGSENDER_H
#define PSP_BASE_RINGSENDER_H

#include "base/BoundedRing.h"

#include <deque>
#include <utility>

namespace psp::base {

/// Used by the producing thread only.
template <typename T> class RingSender {
public:
  explicit RingSender(BoundedRing<T> &Ring) : m_Ring(Ring) {}

  void send(T Value) {
    m_Waiting.push_back(std::move(Value));
    flush();
  }

  /// Moves waiting values into the ring as far as it has room.
  void flush() {
    while (!m_Waiting.empty() && m_Ring.push(std::move(m_Waiting.front())))
      m_Waiting.pop_front();
  }

  /// Values that found no room so far.
  std::size_t waiting() const { return m_Waiting.size(); }

private:
  BoundedRing<T> &m_Ring;
  std::deque<T> m_Waiting;
};

} // namespace psp::base

#endif
