#include "logging/EventLog.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace psp::logging {

namespace {

constexpr std::size_t MaxValueBytes = 200;

bool isPlain(char Character) {
  const auto Value = static_cast<unsigned char>(Character);
  return Value > 0x20 && Value < 0x7f && Character != '"' && Character != '=';
}

void appendValue(std::string &Line, std::string_view Value) {
  Value = Value.substr(0, MaxValueBytes);
  if (!Value.empty() && std::ranges::all_of(Value, isPlain)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (const char Each : Value)
    Line += isPlain(Each) || Each == ' ' || Each == '=' ? Each : '?';
  Line += '"';
}

} // namespace

void EventLog::appendTime() {
  using namespace std::chrono;
  const auto Time = system_clock::now().time_since_epoch();
  const std::time_t Second = duration_cast<seconds>(Time).count();
  if (Second != m_Second) {
    m_Second = Second;
    std::tm Parts{};
    gmtime_r(&Second, &Parts);
    std::array<char, 16> Text{};
    const std::size_t Length =
        std::strftime(Text.data(), Text.size(), "%H:%M:%S.", &Parts);
    m_SecondText.assign(Text.data(), Length);
  }
  m_Buffer += m_SecondText;
  const auto Millis =
      std::to_string(duration_cast<milliseconds>(Time).count() % 1000 + 1000);
  m_Buffer.append(Millis, 1, 3);
}

EventLog::EventLog(boost::asio::io_context &Io, EventLogOptions Options)
    : m_Options(std::move(Options)), m_Timer(Io),
      m_Origin(" program=" + m_Options.m_Program + " node=" + m_Options.m_Node +
               " event=") {
  const int Flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

EventLog::~EventLog() { flush(); }

void EventLog::write(std::string_view Event,
                     std::initializer_list<EventField> Fields) {
  if (m_Buffer.size() >= m_Options.m_BufferBytes) {
    ++m_Dropped;
    return;
  }
  m_Buffer += "time=";
  appendTime();
  m_Buffer += m_Origin;
  m_Buffer += Event;
  for (const EventField &Each : Fields) {
    m_Buffer += ' ';
    m_Buffer += Each.m_Name;
    m_Buffer += '=';
    appendValue(m_Buffer, Each.m_Value);
  }
  if (m_Dropped > 0)
    m_Buffer += " lines_dropped=" + std::to_string(std::exchange(m_Dropped, 0));
  m_Buffer += '\n';
  if (std::exchange(m_Scheduled, true))
    return;
  m_Timer.expires_after(std::chrono::milliseconds(m_Options.m_FlushIntervalMs));
  m_Timer.async_wait([this](boost::system::error_code Error) {
    m_Scheduled = false;
    if (!Error)
      flush();
  });
}

void EventLog::flush() {
  if (m_Buffer.empty())
    return;
  const ssize_t Written =
      ::write(STDOUT_FILENO, m_Buffer.data(), m_Buffer.size());
  // A full pipe keeps the lines for the next flush.
  if (Written > 0)
    m_Buffer.erase(0, static_cast<std::size_t>(Written));
}

} // namespace psp::logging
