/// \file
/// Names of rows by the time at which they are to be looked at again, so that
/// expiry costs nothing for rows that stay.

#ifndef PSP_TURNS_EXPIRYQUEUE_H
#define PSP_TURNS_EXPIRYQUEUE_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace psp::turns {

/// Rows whose expiry was put off are found when their first one comes, and
/// added again by the owner.
class ExpiryQueue {
public:
  void add(const std::string &Key, std::uint64_t ExpiresMs) {
    m_Due[ExpiresMs / SlotMs].push_back(Key);
  }

  /// Takes out all rows whose time was before \p NowMs, give or take a slot.
  std::vector<std::string> takeDue(std::uint64_t NowMs) {
    std::vector<std::string> Taken;
    while (!m_Due.empty() && m_Due.begin()->first < NowMs / SlotMs) {
      for (std::string &Key : m_Due.begin()->second)
        Taken.push_back(std::move(Key));
      m_Due.erase(m_Due.begin());
    }
    return Taken;
  }

  void clear() { m_Due.clear(); }

private:
  /// Rows of one slot expire together, in milliseconds.
  static constexpr std::uint64_t SlotMs = 1000;

  std::map<std::uint64_t, std::vector<std::string>> m_Due;
};

} // namespace psp::turns

#endif
