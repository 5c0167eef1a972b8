/// \file
/// A transfer that waits for the other side.

#ifndef PSP_GATEWAY_TRANSFERWATCH_H
#define PSP_GATEWAY_TRANSFERWATCH_H

#include "gateway/SlowTransfers.h"

#include <utility>

namespace psp::gateway {

/// Has a transfer watched for slowness until the end of its scope.
class TransferWatch {
public:
  TransferWatch(SlowTransfers &Owner, StallLimits Limits,
                std::function<void()> End)
      : m_Owner(Owner),
        m_Id(Owner.add(Limits, base::readMonotonic(), std::move(End))) {}
  ~TransferWatch() { m_Owner.remove(m_Id); }
  TransferWatch(const TransferWatch &) = delete;
  TransferWatch &operator=(const TransferWatch &) = delete;

  void onProgress(std::uint64_t Bytes) {
    m_Owner.onProgress(m_Id, Bytes, base::readMonotonic());
  }

private:
  SlowTransfers &m_Owner;
  std::uint64_t m_Id;
};

} // namespace psp::gateway

#endif
