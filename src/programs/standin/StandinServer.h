/// \file
/// The whole of a stand-in endpoint: its HTTP server, its service, its
/// announcements and its planned stop.

#ifndef PSP_PROGRAMS_STANDIN_STANDINSERVER_H
#define PSP_PROGRAMS_STANDIN_STANDINSERVER_H

#include "programs/standin/Announcer.h"
#include "programs/standin/EndpointService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace psp::standin {

class StandinServer {
public:
  StandinServer(boost::asio::io_context &Context,
                const StandinOptions &Options);

private:
  void handle(const std::shared_ptr<HttpExchange> &Exchange);
  void setFaults(const std::shared_ptr<HttpExchange> &Exchange);
  void awaitSignal();
  void leave();
  void stopWhenIdle();

  boost::asio::io_context &m_Context;
  StandinOptions m_Options;
  FaultSwitch m_Switch;
  CallLedger m_Ledger;
  std::unique_ptr<EndpointService> m_Service;
  Announcer m_Announcer;
  std::unique_ptr<HttpServer> m_Server;
  boost::asio::signal_set m_Signals;
  boost::asio::steady_timer m_IdleTimer;
  unsigned m_IdleChecks = 0;
};

} // namespace psp::standin

#endif
