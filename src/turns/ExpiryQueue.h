/// \file
/// Keys ordered by the time at which they are checked for expiry, so that
/// expiry costs nothing for entries that stay.

#ifndef PSP_TURNS_EXPIRYQUEUE_H
#define PSP_TURNS_EXPIRYQUEUE_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace psp::turns {

/// A key is returned at its first expiry time, even if the expiry was extended
/// since. The owner then adds the key again with the new time.
class ExpiryQueue {
public:
  void add(const std::string &Key, std::uint64_t ExpiresMs) {
    m_Buckets[ExpiresMs / BucketMs].push_back(Key);
  }

  /// Removes and returns all keys that expired before \p NowMs, to the
  /// precision of a bucket.
  std::vector<std::string> takeDue(std::uint64_t NowMs) {
    std::vector<std::string> Due;
    while (!m_Buckets.empty() && m_Buckets.begin()->first < NowMs / BucketMs) {
      for (std::string &Key : m_Buckets.begin()->second)
        Due.push_back(std::move(Key));
      m_Buckets.erase(m_Buckets.begin());
    }
    return Due;
  }

  void clear() { m_Buckets.clear(); }

private:
  /// Width of a bucket, in milliseconds. The keys of a bucket expire together.
  static constexpr std::uint64_t BucketMs = 1000;

  std::map<std::uint64_t, std::vector<std::string>> m_Buckets;
};

} // namespace psp::turns

#endif
