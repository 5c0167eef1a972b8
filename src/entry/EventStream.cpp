#include "entry/EventStream.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

namespace psp::entry {
namespace {

using nlohmann::json;

constexpr std::string_view DataPrefix = "data:";
constexpr std::string_view EndMarker = "[DONE]";

/// Longest line that is accepted, in bytes.
constexpr std::size_t MaxLineBytes = 1U << 20U;

[[noreturn]] void fail(const std::string &Actual) {
  throw base::UserError(base::ErrorKind::EndpointFailed,
                        "expected a chat completion event, found " + Actual);
}

std::uint64_t number(const json &Object, const char *Name) {
  const auto It = Object.find(Name);
  if (It == Object.end() || !It->is_number_unsigned())
    return 0;
  return It->get<std::uint64_t>();
}

TokenUse readUse(const json &Usage) {
  TokenUse Use;
  Use.m_Prompt = number(Usage, "prompt_tokens");
  Use.m_Completion = number(Usage, "completion_tokens");
  const auto Details = Usage.find("prompt_tokens_details");
  if (Details != Usage.end() && Details->is_object())
    Use.m_Cached = number(*Details, "cached_tokens");
  return Use;
}

/// The text of the event's first choice; empty when it carries none.
std::string readText(const json &Event) {
  const auto Choices = Event.find("choices");
  if (Choices == Event.end() || !Choices->is_array() || Choices->empty())
    return {};
  const json &First = Choices->front();
  if (!First.is_object() || !First.contains("delta"))
    return {};
  const json &Delta = First["delta"];
  if (!Delta.is_object())
    return {};
  const auto Content = Delta.find("content");
  if (Content == Delta.end() || !Content->is_string())
    return {};
  return Content->get<std::string>();
}

} // namespace

std::string EventStream::feed(std::string_view Bytes) {
  std::string Text;
  m_Partial.append(Bytes);
  std::size_t Begin = 0;
  while (true) {
    const std::size_t End = m_Partial.find('\n', Begin);
    if (End == std::string::npos)
      break;
    const std::string_view Buffer(m_Partial);
    Text += parseLine(Buffer.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  m_Partial.erase(0, Begin);
  if (m_Partial.size() > MaxLineBytes)
    fail("a line of more than " + std::to_string(MaxLineBytes) + " bytes");
  return Text;
}

std::string EventStream::parseLine(std::string_view Line) {
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  if (!Line.starts_with(DataPrefix))
    return {}; // A blank line, an event identifier or a comment.
  Line.remove_prefix(DataPrefix.size());
  while (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  if (Line == EndMarker) {
    m_Done = true;
    return {};
  }
  const json Event = json::parse(Line, nullptr, false);
  // The failure's text reaches the caller and the program's entries, so it
  // contains no bytes of the endpoint.
  if (!Event.is_object())
    fail("a data line of " + std::to_string(Line.size()) +
         " bytes that is no JSON object");
  const auto Usage = Event.find("usage");
  if (Usage != Event.end() && Usage->is_object())
    m_Use = readUse(*Usage);
  std::string Text = readText(Event);
  if (!Text.empty())
    ++m_EventsSeen;
  return Text;
}

} // namespace psp::entry
