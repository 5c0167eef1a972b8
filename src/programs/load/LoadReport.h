/// \file
/// What psp-load measured: latencies in histograms, counts by organisation
/// and by error kind, as a table, as CSV and as an SVG plot.

#ifndef PSP_PROGRAMS_LOAD_LOADREPORT_H
#define PSP_PROGRAMS_LOAD_LOADREPORT_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>

namespace psp::load {

/// What is timed.
enum class Timed { Program, Turn, FirstByte, Order, Alarm };

class LoadReport {
public:
  LoadReport();
  ~LoadReport();
  LoadReport(const LoadReport &) = delete;
  LoadReport &operator=(const LoadReport &) = delete;

  /// \name Commands
  /// @{
  void noteTime(Timed What, const std::string &Organisation,
                base::Duration Length);
  void noteError(const std::string &Organisation, const std::string &Kind);
  /// An answer that is not the one to its request.
  void noteWrong(const std::string &What);
  void noteStarted() { ++m_Started; }
  void noteEnded() { ++m_Ended; }
  void noteAbandoned() { ++m_Abandoned; }
  void noteGivenUp() { ++m_GivenUp; }
  void noteStoppedLoop() { ++m_StoppedLoops; }
  /// @}
  /// \name Queries
  /// @{
  std::uint64_t wrong() const { return m_Wrong; }
  std::uint64_t started() const { return m_Started; }
  std::uint64_t ended() const { return m_Ended; }
  void printTable(std::ostream &Out) const;
  void writeCsv(std::ostream &Out) const;
  void writeSvg(std::ostream &Out) const;
  /// @}

private:
  struct Series;
  struct Key {
    Timed m_What;
    std::string m_Organisation; ///< Empty: all of them.
    bool operator<(const Key &Other) const {
      return m_What != Other.m_What ? m_What < Other.m_What
                                    : m_Organisation < Other.m_Organisation;
    }
  };

  Series &series(Timed What, const std::string &Organisation);

  std::map<Key, std::unique_ptr<Series>> m_Series;
  std::map<std::string, std::map<std::string, std::uint64_t>> m_Errors;
  std::uint64_t m_Wrong = 0;
  std::uint64_t m_Started = 0;
  std::uint64_t m_Ended = 0;
  std::uint64_t m_Abandoned = 0;
  std::uint64_t m_GivenUp = 0;
  std::uint64_t m_StoppedLoops = 0;
};

} // namespace psp::load

#endif
