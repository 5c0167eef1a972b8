/// \file
/// A stand-in for a model engine: continuous batching, a bounded prefix
/// cache, resumable and cancellable streams, orders with fencing numbers.

#ifndef PSP_PROGRAMS_STANDIN_MODELSERVICE_H
#define PSP_PROGRAMS_STANDIN_MODELSERVICE_H

#include "bench/BatchEngine.h"
#include "bench/PrefixCache.h"
#include "programs/standin/EndpointService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace psp::standin {

class ModelService : public EndpointService {
public:
  ModelService(boost::asio::io_context &Context, const StandinOptions &Options,
               FaultSwitch &Switch, CallLedger &Ledger);

  bool handle(const std::shared_ptr<HttpExchange> &Exchange) override;
  EndpointLoad load() const override;
  void noteLeaving(base::TimePoint Time) override { m_LeftAt = Time; }

private:
  using ExchangePointer = std::shared_ptr<HttpExchange>;

  /// A call that runs, or that has run and can still be resumed.
  struct Call {
    CallRun m_Run;
    std::vector<bench::Prefix> m_Prefixes;
    std::uint64_t m_AnswerSeed = 0;
    std::uint64_t m_PromptTokens = 0;
    std::uint64_t m_CachedTokens = 0;
    std::uint64_t m_MaxTokens = 0;
    std::uint64_t m_Tokens = 0; ///< Produced so far.
    std::uint64_t m_Sent = 0;   ///< Last event sent to m_Exchange.
    bool m_Stream = true;
    bool m_Finished = false;
    bool m_Hangs = false;
    ExchangePointer m_Exchange;
  };

  void complete(const ExchangePointer &Exchange);
  void start(const ExchangePointer &Exchange, const std::string &CallId,
             bool Hangs);
  void attach(Call &Target, const ExchangePointer &Exchange);
  void sendNew(Call &Target);
  void sendEnd(Call &Target);
  void cancel(const ExchangePointer &Exchange);
  void release(const ExchangePointer &Exchange);
  void answerState(const ExchangePointer &Exchange) const;
  void order(const ExchangePointer &Exchange);
  void step();
  void endStep();
  void finish(std::uint64_t Number);

  boost::asio::io_context &m_Context;
  const StandinOptions &m_Options;
  FaultSwitch &m_Switch;
  CallLedger &m_Ledger;
  bench::BatchEngine m_Engine;
  bench::PrefixCache m_Cache;
  boost::asio::steady_timer m_StepTimer;
  bool m_Stepping = false;
  std::uint64_t m_LastNumber = 0;
  std::map<std::uint64_t, Call> m_Calls;
  std::unordered_map<std::string, std::uint64_t> m_NumberOfCallId;
  std::deque<std::uint64_t> m_Remembered; ///< Finished calls, oldest first.
  std::map<std::string, std::string> m_Orders; ///< Kind to name, last obeyed.
  std::uint64_t m_HighestFencing = 0;
  std::optional<base::TimePoint> m_LeftAt;
};

} // namespace psp::standin

#endif
