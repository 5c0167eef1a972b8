/// \file
/// Structured lines on standard output: one for each decision. Volume is
/// bounded and writing never blocks; what finds no room is counted and the
/// count is written with the next line.

#ifndef PSP_LOGGING_EVENTLOG_H
#define PSP_LOGGING_EVENTLOG_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <ctime>
#include <initializer_list>
#include <string>
#include <string_view>

namespace psp::logging {

struct EventField {
  EventField(std::string_view Name, std::string_view Value)
      : m_Name(Name), m_Value(Value) {}
  EventField(std::string_view Name, std::uint64_t Value)
      : m_Name(Name), m_Value(std::to_string(Value)) {}

  std::string_view m_Name;
  std::string m_Value;
};

struct EventLogOptions {
  std::string m_Program;
  std::string m_Node;
  /// Lines that wait for standard output, in bytes.
  std::size_t m_BufferBytes = 128U << 10U;
  /// Lines are written together this often, in milliseconds.
  std::int64_t m_FlushIntervalMs = 200;
};

/// Example:
/// \code
///   Log.write("request_refused", {{"request", Id}, {"reason", "rate"}});
///   // time=12:00:00.123 program=psp-gateway node=a event=request_refused ...
/// \endcode
class EventLog {
public:
  EventLog(boost::asio::io_context &Io, EventLogOptions Options);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  void write(std::string_view Event, std::initializer_list<EventField> Fields);
  /// Writes what standard output takes at once.
  void flush();

private:
  void appendTime();

  EventLogOptions m_Options;
  boost::asio::steady_timer m_Timer;
  std::string m_Origin;      ///< Program and node, as they stand in each line.
  std::time_t m_Second = -1; ///< Of the last line.
  std::string m_SecondText;
  bool m_Scheduled = false;
  std::string m_Buffer;
  std::uint64_t m_Dropped = 0;
};

} // namespace psp::logging

#endif
