#include "base/ResponseStatus.h"

namespace psp::base {

namespace {

constexpr unsigned FirstInterimStatus = 100;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastFinalStatus = 599;

} // namespace

StatusUse statusUse(unsigned Status) {
  if (Status >= FirstFinalStatus && Status <= LastFinalStatus)
    return StatusUse::Final;
  if (Status >= FirstInterimStatus && Status < FirstFinalStatus &&
      Status != SwitchingProtocols)
    return StatusUse::Interim;
  return StatusUse::Invalid;
}

} // namespace psp::base
