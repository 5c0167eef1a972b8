/// \file
/// Parses the server-sent events of a model endpoint incrementally: pieces of
/// text, token usage and the end marker.

#ifndef PSP_ENTRY_EVENTSTREAM_H
#define PSP_ENTRY_EVENTSTREAM_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace psp::entry {

/// Tokens that a call used, as the endpoint reports them.
struct TokenUse {
  std::uint64_t m_Prompt = 0;
  std::uint64_t m_Completion = 0;
  std::uint64_t m_Cached = 0; ///< Prompt tokens found in the cache.

  bool operator==(const TokenUse &) const = default;
};

/// Splits a byte stream into events in the chat completions format.
///
/// Example: feeding `data: {"choices":[{"delta":{"content":"hi"}}]}` and a
/// blank line returns "hi".
class EventStream {
public:
  /// Parses the next bytes and returns the text of the events that they
  /// complete. Throws UserError (endpoint-failed) when an event is malformed.
  std::string feed(std::string_view Bytes);

  /// Whether the end marker has arrived.
  bool isDone() const { return m_Done; }
  const TokenUse &use() const { return m_Use; }

  /// Number of events that carried text, for a resume with Last-Event-ID.
  std::uint64_t eventsSeen() const { return m_EventsSeen; }

private:
  std::string parseLine(std::string_view Line);

  std::string m_Partial;
  TokenUse m_Use;
  std::uint64_t m_EventsSeen = 0;
  bool m_Done = false;
};

} // namespace psp::entry

#endif
