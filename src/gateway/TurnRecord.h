/// \file
/// How long the record of a turn covers the end of its response.

#ifndef PSP_GATEWAY_TURNRECORD_H
#define PSP_GATEWAY_TURNRECORD_H

#include "base/Time.h"

namespace psp::gateway {

struct TurnRecordOptions {
  /// The end of a response may follow its turn's record after this time. An
  /// older record is renewed.
  base::Duration m_MaxAge = base::seconds(5);
  /// Maximum difference between the wall clocks of the history nodes that
  /// record a turn and expire it.
  base::Duration m_MaxClockDifference = base::seconds(10);
};

/// A turn is recorded before its response ends, and its caller counts the
/// retention time from that end. Load pattern: this instance stands still
/// between the two.
///
/// Times are those of base::readBootTime().
class TurnRecord {
public:
  explicit TurnRecord(TurnRecordOptions Options = {}) : m_Options(Options) {}

  /// How long history has to retain a turn for it to be known \p Promised
  /// after the end of its response. The end may be delayed before and after
  /// the last check of the age.
  base::Duration retention(base::Duration Promised) const {
    return Promised + 2 * m_Options.m_MaxAge + m_Options.m_MaxClockDifference;
  }
  /// The record, or its renewal, is sent.
  void onSent(base::Duration Now) { m_SentAt = Now; }
  /// Whether the record has to be renewed for a response that ends at \p Now.
  bool isOld(base::Duration Now) const {
    return Now - m_SentAt > m_Options.m_MaxAge;
  }

private:
  TurnRecordOptions m_Options;
  base::Duration m_SentAt{0};
};

} // namespace psp::gateway

#endif
