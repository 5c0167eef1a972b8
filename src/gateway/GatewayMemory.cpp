#include "gateway/Gateway.h"

#include "metrics/Names.h"

namespace psp::gateway {

void Gateway::endSlowTransfers() {
  m_SlowTransfers.check(m_CallMemory.takeShortage(), base::readMonotonic());
  metrics::Registry &Metrics = m_Node.metrics();
  const auto Report = [&](CallDirection Direction, const char *Name) {
    Metrics
        .gauge(metrics::names::CallBytesHeld,
               {{metrics::names::DirectionLabel, Name}})
        .set(static_cast<std::int64_t>(m_CallMemory.heldBytes(Direction)));
  };
  Report(CallDirection::Request, "request");
  Report(CallDirection::Answer, "answer");
  Metrics.gauge(metrics::names::CallBytesLimit)
      .set(static_cast<std::int64_t>(m_CallMemory.limitBytes()));
  Metrics.gauge(metrics::names::BodiesWaiting)
      .set(static_cast<std::int64_t>(m_CallMemory.waiting()));
}

void Gateway::countSlowTransfer(const std::string &OtherSide) {
  m_Node.metrics()
      .counter(metrics::names::SlowTransfersEnded, {{"side", OtherSide}})
      .add();
}

} // namespace psp::gateway
