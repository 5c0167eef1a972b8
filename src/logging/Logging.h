/// \file
/// Log lines: a fixed prefix for each part, a short sentence, and fields that
/// can be searched. glog writes them.

#ifndef PSP_LOGGING_LOGGING_H
#define PSP_LOGGING_LOGGING_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace psp::logging {

/// The parts of the system. Each has one prefix.
enum class Part {
  Callers,
  Peers,
  Endpoints,
  Control,
  Programs,
  Limits,
  Schedule,
  Disk,
  Operators,
  Process,
};

std::string_view partName(Part Value);

/// A searchable field. There is none for a key, only for its identifier.
struct Field {
  enum class Name {
    Program,
    Turn,
    Organisation,
    Instance,
    DataCentre,
    Endpoint,
    KeyId,
    Operator,
    RequestId,
    Kind,
    Number,
    Method,
    Subject,
  };

  Field(Name Which, std::string Value);
  Field(Name Which, std::uint64_t Value);

  Name m_Name;
  std::string m_Value;
};

/// Text for one line. Values are quoted where needed, so that a value can't
/// start a line of its own or pose as another field.
///
/// Example:
/// \code
///   LOG(INFO) << logLine(Part::Peers, "connection closed",
///                        {{Field::Name::Instance, Peer.str()}});
///   // peers: connection closed. instance=brum-a-2
/// \endcode
std::string logLine(Part From, std::string_view Sentence,
                    const std::vector<Field> &Fields = {});

/// Sets glog up for \p Program. An empty \p Folder logs to standard error
/// only; otherwise the folder is created and lines from warnings on go to
/// standard error too. Call once, before the first line.
void initLogging(const std::string &Program, const std::string &Folder);

} // namespace psp::logging

#endif
