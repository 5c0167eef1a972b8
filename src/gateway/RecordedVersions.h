/// \file
/// Which software versions of services history has recorded as generating
/// streams, as far as this instance knows.

#ifndef PSP_GATEWAY_RECORDEDVERSIONS_H
#define PSP_GATEWAY_RECORDEDVERSIONS_H

#include "base/Time.h"

#include <map>
#include <string>
#include <utility>

namespace psp::gateway {

/// A stream may be taken up for this long after its call's timeout.
constexpr base::Duration StreamTakeUpTime = base::seconds(60);

struct RecordedVersionsOptions {
  /// A record counts for this long here, and is renewed after half of it.
  base::Duration m_ValidTime = base::seconds(20);
  base::Duration m_RetryInterval = base::seconds(1);
};

/// A caller that doesn't name the stream that it takes up may come to an
/// instance that hasn't heard of the stream's version. So a version is recorded
/// in history before its streams are forwarded.
class RecordedVersions {
public:
  explicit RecordedVersions(RecordedVersionsOptions Options = {})
      : m_Options(Options) {}

  bool isRecorded(const std::string &Service, const std::string &Software,
                  base::TimePoint Now) const;
  /// Whether a request for a record is to be sent, which counts as sent then.
  bool takeDue(const std::string &Service, const std::string &Software,
               base::TimePoint Now);
  /// Whether the last request failed: no stream waits for the next one.
  bool hasFailed(const std::string &Service, const std::string &Software) const;
  void onFailed(const std::string &Service, const std::string &Software);
  /// \p SentAt: time of the request that history has confirmed.
  void onRecorded(const std::string &Service, const std::string &Software,
                  base::TimePoint SentAt);
  /// How long history has to remember a version of streams that last up to
  /// \p Timeout.
  base::Duration retention(base::Duration Timeout) const {
    return m_Options.m_ValidTime + Timeout + StreamTakeUpTime;
  }

private:
  struct Record {
    base::TimePoint m_ValidUntil;
    base::TimePoint m_NextRequestAt;
    bool m_Failed = false;
  };

  RecordedVersionsOptions m_Options;
  std::map<std::pair<std::string, std::string>, Record> m_Records;
};

} // namespace psp::gateway

#endif
