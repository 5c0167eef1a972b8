/// \file
/// One program as a caller drives it: it is created, makes its calls one
/// after the other with pauses, and is deleted, or abandoned.

#ifndef PSP_PROGRAMS_LOAD_PROGRAMRUN_H
#define PSP_PROGRAMS_LOAD_PROGRAMRUN_H

#include "bench/Conversation.h"
#include "programs/load/AnswerCheck.h"
#include "programs/load/LoadOptions.h"
#include "programs/load/LoadReport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace psp::load {

/// What all programs of a run share.
struct LoadContext {
  boost::asio::io_context &m_Io;
  const LoadOptions &m_Options;
  LoadReport &m_Report;
  std::mt19937_64 m_Random;
  bool m_Stopping = false; ///< Programs end after the call under way.
  std::uint64_t m_LastKey = 0;
  std::uint64_t m_NextEntry = 0;

  bool chance(double Share);
  std::uint64_t between(std::uint64_t Low, std::uint64_t High);
  base::Duration exponential(base::Duration Mean);
  const std::string &nextEntry();
  std::string nextKey();
};

class ProgramRun : public std::enable_shared_from_this<ProgramRun> {
public:
  /// \p Done is called once, when the program is over.
  ProgramRun(LoadContext &Context, const Organisation &Owner, bool SubAgent,
             std::function<void()> Done);

  void start();

private:
  void create();
  void nextTurn();
  void chat();
  void order();
  void runSubAgent();
  void pause();
  void send(bench::ClientRequest Request,
            std::function<void(const bench::ClientResponse &)> Handle,
            bool TimeFirstByte = false);
  void takeCompletion(const bench::ClientResponse &Response);
  void takeOrder(const bench::ClientResponse &Response);
  /// Asks again, or gives the program up; \p Again repeats the call.
  void handleError(const Answer &Failure, void (ProgramRun::*Again)());
  void endTurn();
  void remove();
  void abandon();
  void end();
  void after(base::Duration Length, void (ProgramRun::*Next)());
  std::vector<bench::HttpHeader> headers() const;

  LoadContext &m_Context;
  Organisation m_Owner;
  bool m_SubAgent;
  bool m_Loops = false;
  bool m_Abandons = false;
  std::function<void()> m_Done;
  boost::asio::steady_timer m_Timer;
  std::string m_Id;
  std::uint64_t m_Turn = 1;
  std::uint64_t m_TurnsLeft = 0;
  unsigned m_Attempts = 0; ///< Of the call under way.
  bench::Conversation m_Conversation;
  bench::Message m_NewMessage;
  std::uint64_t m_MaxTokens = 0;
  bool m_Streamed = true;
  std::string m_Key; ///< Idempotency key of the order under way.
  base::TimePoint m_Started;
  base::TimePoint m_CallStarted;
};

/// Raises one alarm and notes how long its notice took.
void raiseAlarm(LoadContext &Context, const Organisation &Owner);

} // namespace psp::load

#endif
