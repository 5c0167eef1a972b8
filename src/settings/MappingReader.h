/// \file
/// Reads one YAML mapping field by field and collects faults with file and
/// line, so that one pass over a file reports all of them.

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

/// Reads the fields of one mapping. Each `read...` function marks its field as
/// known; finish() reports the fields that are not known.
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

  /// Each `read...` function leaves \p Value unchanged when the field is
  /// missing or invalid, and returns whether it set \p Value.
  bool readString(const std::string &Key, std::string &Value,
                  Presence Need = Presence::Optional);
  /// Reads a name of at most 64 letters, digits, `-`, `_` and `.`.
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

  /// Adds a fault at the line of \p Key, or at the line of the mapping when the
  /// field is missing.
  void addFault(const std::string &Key, const std::string &Message);
  bool has(const std::string &Key) const;
  /// Adds a fault for each unknown or duplicate field.
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

/// Parses \p Text. Throws a SettingsError that names \p File when the syntax
/// is invalid or the root is not a mapping.
YAML::Node parseDocument(const std::string &Text, const std::string &File);

/// Returns the contents of \p File. Throws SettingsError when it can't be read
/// or is longer than 8 MiB.
std::string readFile(const std::string &File);

} // namespace psp::settings

#endif
