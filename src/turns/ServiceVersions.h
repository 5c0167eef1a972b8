/// \file
/// Which software versions of a service may have generated a stream that its
/// caller can still take up.

#ifndef PSP_TURNS_SERVICEVERSIONS_H
#define PSP_TURNS_SERVICEVERSIONS_H

#include "generated/fleet.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace psp::turns {

struct ServiceVersionsOptions {
  /// Versions that are remembered of one service. With any two of them, the
  /// version of a stream can't be told from its service.
  std::size_t m_MaxPerService = 64;
};

/// Deterministic. Entry instances record a version before they forward a stream
/// of it, so an instance that hasn't heard of the version yet learns of it
/// here.
class ServiceVersions {
public:
  explicit ServiceVersions(ServiceVersionsOptions Options = {})
      : m_Options(Options) {}

  /// Remembers \p Software until \p ExpiresMs at least.
  void record(const std::string &Service, const std::string &Software,
              std::uint64_t ExpiresMs);
  /// Those that are remembered at \p NowMs. See TurnLedger on lookups.
  std::set<std::string> find(const std::string &Service,
                             std::uint64_t NowMs = 0) const;
  /// Zero if \p Software is not recorded.
  std::uint64_t expiresMs(const std::string &Service,
                          const std::string &Software) const;
  void expire(std::uint64_t WallMs);

  void save(messages::fleet::TurnLedgerSnapshot &Snapshot) const;
  /// Replaces all records.
  void load(const messages::fleet::TurnLedgerSnapshot &Snapshot);

private:
  ServiceVersionsOptions m_Options;
  /// Expiry times by service and version, in milliseconds of the wall clock.
  std::map<std::string, std::map<std::string, std::uint64_t>> m_Services;
};

} // namespace psp::turns

#endif
