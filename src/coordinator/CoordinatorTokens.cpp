#include "coordinator/Coordinator.h"

#include "metrics/Names.h"

#include <chrono>

namespace psp::coordinator {

namespace {

/// The entry instance describes its call as for a turn, beside the tokens.
TokenRequest tokenRequest(const messages::fleet::Request &Received) {
  const auto &Begin = Received.begin();
  TokenRequest Asked = {
      .m_Wanted = Received.tokens().count(),
      .m_NewProgram = Received.tokens().new_program(),
      .m_Asking = {.m_Program = Begin.program(),
                   .m_Caller = {.m_Priority = Received.placement().priority(),
                                .m_Route = Received.placement().route(),
                                .m_Organisation =
                                    Received.tokens().organisation()},
                   .m_ProgramTimeLeft = {}},
      .m_CallTimeLeft =
          base::milliseconds(static_cast<std::int64_t>(Begin.time_left_ms()))};
  if (Begin.has_program_left())
    Asked.m_Asking.m_ProgramTimeLeft =
        base::milliseconds(Begin.program_left_ms());
  return Asked;
}

} // namespace

Coordinator::Reply Coordinator::allocateTokens(const Request &Received) {
  const auto &Asked = Received.tokens();
  const base::TimePoint Now = base::readMonotonic();
  TokenGrant Grant;
  for (const auto &Organisation : m_Configuration.m_Organisations) {
    if (Organisation.m_Name != Asked.organisation())
      continue;
    if (m_Options.m_AllowancesByPrograms)
      Grant =
          m_TokenAllocator.request(Organisation, tokenRequest(Received), Now);
    else
      Grant.m_Count = m_TokenAllocator.allocate(Organisation, Asked.count(),
                                                Asked.new_program(), Now);
  }
  Reply Result;
  Result.set_kind(Grant.m_Count > 0 ? messages::fleet::REPLY_OK
                                    : messages::fleet::REPLY_REFUSED);
  Result.set_count(Grant.m_Count);
  Result.set_wait_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Grant.m_Wait).count()));
  const ProgramAllowance *Programs =
      m_TokenAllocator.programs(Asked.organisation());
  if (Programs)
    countEndedPrograms(Asked.organisation(), *Programs);
  if (Grant.m_Count == 0)
    m_Node.log().write("tokens_refused",
                       {{"organisation", Asked.organisation()},
                        {"new_program", Asked.new_program() ? "yes" : "no"},
                        {"program", Received.begin().program()},
                        {"route", Received.placement().route()},
                        {"priority", Received.placement().priority()},
                        {"wanted", Asked.count()},
                        {"left", m_TokenAllocator.left(Asked.organisation())},
                        {"running", Programs ? Programs->running() : 0},
                        {"waiting", Programs ? Programs->waiting() : 0},
                        {"retry_after_ms", Result.wait_ms()},
                        {"configuration", m_Configuration.m_Version}});
  return Result;
}

/// Adds what has been counted since the last call to the metrics.
void Coordinator::countEndedPrograms(const std::string &Organisation,
                                     const ProgramAllowance &Programs) {
  auto &[Ended, BrokenOff] = m_CountedPrograms[Organisation];
  const auto Add = [&](const char *Outcome, std::uint64_t &Counted,
                       std::uint64_t Sum) {
    // A new leader counts from zero.
    if (Sum > Counted)
      m_Node.metrics()
          .counter(metrics::names::ProgramsLimited,
                   {{metrics::names::OrganisationLabel, Organisation},
                    {metrics::names::OutcomeLabel, Outcome}})
          .add(Sum - Counted);
    Counted = Sum;
  };
  Add("ended", Ended, Programs.ended() - Programs.brokenOff());
  Add("refused_last", BrokenOff, Programs.brokenOff());
}

} // namespace psp::coordinator
