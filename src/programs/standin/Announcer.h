/// \file
/// Announces a stand-in endpoint to the entry instances, one after the other,
/// and says when it leaves. Loads lag by one announcement; held prefixes are
/// published late and with gaps, as real engines do.

#ifndef PSP_PROGRAMS_STANDIN_ANNOUNCER_H
#define PSP_PROGRAMS_STANDIN_ANNOUNCER_H

#include "programs/standin/EndpointService.h"
#include "programs/standin/StandinOptions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace psp::standin {

class Announcer {
public:
  Announcer(boost::asio::io_context &Context, const StandinOptions &Options,
            const EndpointService &Service);

  /// Announces now and then once a second.
  void start();

  /// Stops announcing and tells one entry instance that the endpoint leaves.
  /// \p Done is called when one of them, or none of them, has answered.
  void leave(std::function<void()> Done);

private:
  void announce();
  void post(const std::string &Target, const std::string &Body,
            std::size_t Attempts, std::function<void()> Done);
  std::string announcement();
  std::string leaveMessage();

  boost::asio::io_context &m_Context;
  const StandinOptions &m_Options;
  const EndpointService &m_Service;
  boost::asio::steady_timer m_Timer;
  std::uint64_t m_Incarnation;
  std::uint64_t m_Sequence = 0;
  std::size_t m_NextEntry = 0;
  EndpointLoad m_ReportedLoad; ///< As it was one announcement ago.
};

} // namespace psp::standin

#endif
