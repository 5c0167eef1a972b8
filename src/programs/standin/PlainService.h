/// \file
/// A stand-in for plain services, order workers and notice workers. It runs
/// each call it gets, also a second one with the same idempotency key, so
/// that tests can count double runs.

#ifndef PSP_PROGRAMS_STANDIN_PLAINSERVICE_H
#define PSP_PROGRAMS_STANDIN_PLAINSERVICE_H

#include "programs/standin/EndpointService.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <optional>
#include <unordered_map>

namespace psp::standin {

class PlainService : public EndpointService {
public:
  PlainService(boost::asio::io_context &Context, const StandinOptions &Options,
               FaultSwitch &Switch, CallLedger &Ledger);

  bool handle(const std::shared_ptr<HttpExchange> &Exchange) override;
  EndpointLoad load() const override;
  void noteLeaving(base::TimePoint Time) override { m_LeftAt = Time; }

private:
  using ExchangePointer = std::shared_ptr<HttpExchange>;

  bool refusesFencing(const ExchangePointer &Exchange);
  void answerOutcome(const ExchangePointer &Exchange,
                     const std::string &Service);
  void admit(const ExchangePointer &Exchange, const std::string &Service);
  void startWaiting();
  void run(const ExchangePointer &Exchange, const std::string &Service,
           CallFault Fault);

  struct Waiting {
    ExchangePointer m_Exchange;
    std::string m_Service;
  };

  boost::asio::io_context &m_Context;
  const StandinOptions &m_Options;
  FaultSwitch &m_Switch;
  CallLedger &m_Ledger;
  std::deque<Waiting> m_Waiting;
  std::size_t m_Running = 0;
  std::uint64_t m_HighestFencing = 0;
  std::unordered_map<std::string, std::uint64_t> m_SequenceOfKey;
  std::optional<base::TimePoint> m_LeftAt;
};

} // namespace psp::standin

#endif
