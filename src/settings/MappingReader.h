/// \file
/// Reads one YAML mapping field by field and collects faults with file and
/// line, so that a file is checked whole before anything is refused.

#ifndef PSP_SETTINGS_MAPPINGREADER_H
#define PSP_SETTINGS_MAPPINGREADER_H

#include "settings/SettingsError.h"
#include "settings/Units.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace psp::settings {

/// Inclusive bounds of a number, in the field's own unit.
template <typename T> struct Range {
  T m_Min;
  T m_Max;
};

enum class Presence { Required, Optional };

/// Reads the fields of one mapping. Each `read...` marks its field as known;
/// finish() reports the fields that nobody read.
///
/// Example:
/// \code
///   MappingReader Reader(Root, File, "", Faults);
///   Reader.readDuration("heartbeat_interval", Interval, {1ms, 1s});
///   Reader.finish();
/// \endcode
class MappingReader {
public:
  MappingReader(const YAML::Node &Node, std::string File, std::string Path,
                std::vector<Fault> &Faults);

  /// Each reader leaves \p Value untouched when the field is absent or at
  /// fault, and returns whether it was set.
  bool readString(const std::string &Key, std::string &Value,
                  Presence Need = Presence::Optional);
  /// Letters, digits, `-`, `_` and `.`, at most 64 of them.
  bool readName(const std::string &Key, std::string &Value,
                Presence Need = Presence::Optional);
  bool readBool(const std::string &Key, bool &Value);
  bool readInteger(const std::string &Key, std::uint64_t &Value,
                   Range<std::uint64_t> Bounds,
                   Presence Need = Presence::Optional);
  bool readNumber(const std::string &Key, double &Value, Range<double> Bounds,
                  Presence Need = Presence::Optional);
  bool readDuration(const std::string &Key, base::Duration &Value,
                    Range<base::Duration> Bounds,
                    Presence Need = Presence::Optional);
  bool readBytes(const std::string &Key, std::size_t &Value,
                 Range<std::size_t> Bounds);
  bool readAddress(const std::string &Key, Address &Value,
                   Presence Need = Presence::Optional);

  /// The mappings of a sequence, each with a path such as `peers[0]`.
  std::vector<MappingReader> readMappings(const std::string &Key,
                                          Presence Need = Presence::Optional);
  std::vector<std::string> readNames(const std::string &Key);

  /// Reports a fault at the line of \p Key, or of the mapping without it.
  void addFault(const std::string &Key, const std::string &Message);
  bool has(const std::string &Key) const;
  /// Reports unknown and doubled fields.
  void finish();

private:
  bool readScalar(const std::string &Key, std::string &Text, Presence Need);
  YAML::Node find(const std::string &Key) const;
  std::string pathOf(const std::string &Key) const;
  std::string knownFields() const;

  YAML::Node m_Node;
  std::string m_File;
  std::string m_Path;
  std::vector<Fault> *m_Faults;
  std::set<std::string> m_Known;
};

/// Parses \p Text; a syntax error, or a root that is no mapping, is thrown as
/// a SettingsError that names \p File.
YAML::Node parseDocument(const std::string &Text, const std::string &File);

/// The contents of \p File, or a SettingsError.
std::string readFile(const std::string &File);

} // namespace psp::settings

#endif
