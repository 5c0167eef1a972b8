#include "settings/MappingReader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace psp::settings {
namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxFileBytes = 8U << 20U;

int lineOf(const YAML::Mark &Mark) { return Mark.line + 1; }

bool isName(const std::string &Text) {
  const auto IsNameCharacter = [](unsigned char Character) {
    return std::isalnum(Character) != 0 || Character == '-' ||
           Character == '_' || Character == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), IsNameCharacter);
}

template <typename T> bool parseComplete(const std::string &Text, T &Value) {
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  return Error == std::errc() && Rest == End;
}

template <typename T> bool isInRange(T Value, Range<T> Bounds) {
  return Value >= Bounds.m_Min && Value <= Bounds.m_Max;
}

template <typename T>
std::string expectedRangeText(const std::string &What, Range<T> Bounds,
                              const std::string &Found) {
  std::ostringstream Text;
  Text << "expected " << What << " from " << Bounds.m_Min << " to "
       << Bounds.m_Max << ", found '" << Found << "'";
  return Text.str();
}

std::string durationText(base::Duration Value) {
  constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
  if (Value.count() % MicrosecondsPerMillisecond == 0)
    return std::to_string(Value.count() / MicrosecondsPerMillisecond) + "ms";
  return std::to_string(Value.count()) + "us";
}

} // namespace

MappingReader::MappingReader(const YAML::Node &Node, std::string File,
                             std::string Path, std::vector<Fault> &Faults)
    : m_Node(Node), m_File(std::move(File)), m_Path(std::move(Path)),
      m_Faults(&Faults) {}

YAML::Node MappingReader::find(const std::string &Key) const {
  for (const auto &Entry : m_Node) {
    if (Entry.first.IsScalar() && Entry.first.Scalar() == Key)
      return Entry.second;
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

bool MappingReader::has(const std::string &Key) const {
  return std::any_of(m_Node.begin(), m_Node.end(), [&](const auto &Entry) {
    return Entry.first.IsScalar() && Entry.first.Scalar() == Key;
  });
}

std::string MappingReader::pathOf(const std::string &Key) const {
  if (m_Path.empty() || Key.empty())
    return m_Path + Key;
  return m_Path + "." + Key;
}

void MappingReader::addFault(const std::string &Key,
                             const std::string &Message) {
  int Line = lineOf(m_Node.Mark());
  for (const auto &Entry : m_Node) {
    if (Entry.first.IsScalar() && Entry.first.Scalar() == Key)
      Line = lineOf(Entry.first.Mark());
  }
  m_Faults->push_back({.m_File = m_File,
                       .m_Line = Line,
                       .m_Field = pathOf(Key),
                       .m_Message = Message});
}

bool MappingReader::readScalar(const std::string &Key, std::string &Text,
                               Presence Need) {
  m_Known.insert(Key);
  if (!has(Key)) {
    if (Need == Presence::Required)
      addFault(Key, "missing; this field is required");
    return false;
  }
  const YAML::Node Field = find(Key);
  if (!Field.IsScalar()) {
    addFault(Key, "expected one value, found a list, a mapping or nothing");
    return false;
  }
  Text = Field.Scalar();
  return true;
}

bool MappingReader::readString(const std::string &Key, std::string &Value,
                               Presence Need) {
  std::string Text;
  if (!readScalar(Key, Text, Need))
    return false;
  if (Text.empty()) {
    addFault(Key, "expected text, found an empty value");
    return false;
  }
  Value = Text;
  return true;
}

bool MappingReader::readName(const std::string &Key, std::string &Value,
                             Presence Need) {
  std::string Text;
  if (!readScalar(Key, Text, Need))
    return false;
  if (!isName(Text)) {
    addFault(Key, "expected a name of letters, digits, '-', '_' and '.', at "
                  "most 64 long, found '" +
                      Text + "'");
    return false;
  }
  Value = Text;
  return true;
}

bool MappingReader::readBool(const std::string &Key, bool &Value) {
  std::string Text;
  if (!readScalar(Key, Text, Presence::Optional))
    return false;
  if (Text != "true" && Text != "false") {
    addFault(Key, "expected true or false, found '" + Text + "'");
    return false;
  }
  Value = Text == "true";
  return true;
}

bool MappingReader::readInteger(const std::string &Key, std::uint64_t &Value,
                                Range<std::uint64_t> Bounds, Presence Need) {
  std::string Text;
  if (!readScalar(Key, Text, Need))
    return false;
  std::uint64_t Number = 0;
  if (!parseComplete(Text, Number) || !isInRange(Number, Bounds)) {
    addFault(Key, expectedRangeText("a whole number", Bounds, Text));
    return false;
  }
  Value = Number;
  return true;
}

bool MappingReader::readNumber(const std::string &Key, double &Value,
                               Range<double> Bounds, Presence Need) {
  std::string Text;
  if (!readScalar(Key, Text, Need))
    return false;
  double Number = 0;
  if (!parseComplete(Text, Number) || !std::isfinite(Number) ||
      !isInRange(Number, Bounds)) {
    addFault(Key, expectedRangeText("a number", Bounds, Text));
    return false;
  }
  Value = Number;
  return true;
}

bool MappingReader::readDuration(const std::string &Key, base::Duration &Value,
                                 Range<base::Duration> Bounds, Presence Need) {
  std::string Text;
  if (!readScalar(Key, Text, Need))
    return false;
  const auto Parsed = parseDuration(Text);
  if (!Parsed || !isInRange(*Parsed, Bounds)) {
    addFault(Key, "expected a duration with a unit (us, ms, s, min, h) from " +
                      durationText(Bounds.m_Min) + " to " +
                      durationText(Bounds.m_Max) + ", found '" + Text + "'");
    return false;
  }
  Value = *Parsed;
  return true;
}

bool MappingReader::readBytes(const std::string &Key, std::size_t &Value,
                              Range<std::size_t> Bounds) {
  std::string Text;
  if (!readScalar(Key, Text, Presence::Optional))
    return false;
  const auto Parsed = parseBytes(Text);
  if (!Parsed || !isInRange(*Parsed, Bounds)) {
    addFault(Key, expectedRangeText("a size with a unit (B, KiB, MiB, GiB)",
                                    Bounds, Text));
    return false;
  }
  Value = *Parsed;
  return true;
}

bool MappingReader::readAddress(const std::string &Key, Address &Value,
                                Presence Need) {
  std::string Text;
  if (!readScalar(Key, Text, Need))
    return false;
  const auto Parsed = parseAddress(Text);
  if (!Parsed) {
    addFault(Key, "expected an IP number and a port, such as 127.0.0.1:7101, "
                  "found '" +
                      Text + "'");
    return false;
  }
  Value = *Parsed;
  return true;
}

std::vector<MappingReader> MappingReader::readMappings(const std::string &Key,
                                                       Presence Need) {
  m_Known.insert(Key);
  std::vector<MappingReader> Readers;
  if (!has(Key)) {
    if (Need == Presence::Required)
      addFault(Key, "missing; this field is required");
    return Readers;
  }
  const YAML::Node List = find(Key);
  if (!List.IsSequence()) {
    addFault(Key, "expected a list");
    return Readers;
  }
  for (std::size_t I = 0; I < List.size(); ++I) {
    const std::string Path = pathOf(Key) + "[" + std::to_string(I) + "]";
    if (List[I].IsMap()) {
      Readers.emplace_back(List[I], m_File, Path, *m_Faults);
      continue;
    }
    m_Faults->push_back({.m_File = m_File,
                         .m_Line = lineOf(List[I].Mark()),
                         .m_Field = Path,
                         .m_Message = "expected a mapping"});
  }
  return Readers;
}

std::vector<std::string> MappingReader::readNames(const std::string &Key) {
  m_Known.insert(Key);
  std::vector<std::string> Names;
  if (!has(Key))
    return Names;
  const YAML::Node List = find(Key);
  if (!List.IsSequence()) {
    addFault(Key, "expected a list of names");
    return Names;
  }
  for (const YAML::Node &Item : List) {
    if (Item.IsScalar() && isName(Item.Scalar()))
      Names.push_back(Item.Scalar());
    else
      addFault(Key, "expected a list of names");
  }
  return Names;
}

std::string MappingReader::knownFields() const {
  std::string Text;
  for (const std::string &Name : m_Known)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

void MappingReader::finish() {
  std::set<std::string> Seen;
  for (const auto &Entry : m_Node) {
    const std::string Name = Entry.first.IsScalar() ? Entry.first.Scalar() : "";
    Fault Found = {.m_File = m_File,
                   .m_Line = lineOf(Entry.first.Mark()),
                   .m_Field = pathOf(Name),
                   .m_Message = ""};
    if (m_Known.count(Name) == 0)
      Found.m_Message = "unknown field; known fields are " + knownFields();
    else if (!Seen.insert(Name).second)
      Found.m_Message = "the field is listed more than once";
    if (!Found.m_Message.empty())
      m_Faults->push_back(Found);
  }
}

YAML::Node parseDocument(const std::string &Text, const std::string &File) {
  try {
    YAML::Node Root = YAML::Load(Text);
    if (!Root.IsMap())
      throw SettingsError({{.m_File = File,
                            .m_Line = 1,
                            .m_Field = "",
                            .m_Message = "expected a mapping of fields"}});
    return Root;
  } catch (const YAML::Exception &Error) {
    throw SettingsError({{.m_File = File,
                          .m_Line = lineOf(Error.mark),
                          .m_Field = "",
                          .m_Message = "not valid YAML: " + Error.msg}});
  }
}

std::string readFile(const std::string &File) {
  std::ifstream Input(File, std::ios::binary);
  std::string Text(MaxFileBytes + 1, '\0');
  if (Input)
    Input.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  const auto Length = static_cast<std::size_t>(Input.gcount());
  const bool WasRead = Input.is_open() && Input.eof() && Length <= MaxFileBytes;
  if (!WasRead)
    throw SettingsError({{.m_File = File,
                          .m_Line = 0,
                          .m_Field = "",
                          .m_Message = "the file can't be read, or is longer "
                                       "than 8 MiB"}});
  Text.resize(Length);
  return Text;
}

} // namespace psp::settings
