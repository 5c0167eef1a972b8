/// \file
/// A sample history of a program: a turn, an order and a complete hash chain.

#ifndef PSP_TESTS_SUPPORT_SAMPLEHISTORY_H
#define PSP_TESTS_SUPPORT_SAMPLEHISTORY_H

#include "program/HashChain.h"
#include "records/ProgramHistory.h"

#include <string>

namespace psp::tests {

/// Builds a history with its digests. The entries are one second apart.
class HistoryBuilder {
public:
  explicit HistoryBuilder(const std::string &Program) {
    m_History.m_Program = base::ProgramId(Program);
  }

  messages::ProgramEntry &add() {
    m_History.m_Entries.emplace_back();
    return m_History.m_Entries.back();
  }

  HistoryBuilder &create(const std::string &Organisation) {
    add().mutable_created()->set_organisation(Organisation);
    return *this;
  }
  HistoryBuilder &start(std::uint64_t Turn, const std::string &Service) {
    auto &Start = *add().mutable_turn_started();
    Start.set_key_id("k-1");
    Start.mutable_request()->set_turn(Turn);
    Start.mutable_request()->set_service(Service);
    Start.mutable_request()->set_body("question " + std::to_string(Turn));
    return *this;
  }
  HistoryBuilder &claim(std::uint64_t Turn, const std::string &Endpoint) {
    auto &Claim = *add().mutable_call_claimed();
    Claim.set_turn(Turn);
    Claim.set_endpoint(Endpoint);
    return *this;
  }
  HistoryBuilder &finish(std::uint64_t Turn, const std::string &Endpoint,
                         const std::string &ErrorKind = "") {
    auto &Finish = *add().mutable_turn_finished();
    Finish.set_turn(Turn);
    Finish.set_endpoint(Endpoint);
    Finish.set_answer("answer " + std::to_string(Turn));
    Finish.mutable_outcome()->set_error_kind(ErrorKind);
    return *this;
  }

  /// Returns the history with indexes, times and digests filled in.
  records::ProgramHistory build(std::uint32_t SchemaVersion = 1) const {
    constexpr std::uint64_t MicrosPerSecond = 1000000;
    records::ProgramHistory Result = m_History;
    std::string Previous;
    std::uint64_t Index = 0;
    for (auto &Entry : Result.m_Entries) {
      Entry.set_index(++Index);
      Entry.set_wall_time_us(Index * MicrosPerSecond);
      Entry.set_durability("quorum");
      Entry.set_schema_version(SchemaVersion);
      Entry.set_previous_hash(Previous);
      Previous = program::contentHash(Entry);
    }
    return Result;
  }

private:
  records::ProgramHistory m_History;
};

/// An answered turn and an order whose outcome is unknown.
inline records::ProgramHistory sampleHistory(const std::string &Program) {
  return HistoryBuilder(Program)
      .create("north")
      .start(1, "advice")
      .finish(1, "model-1")
      .start(2, "slurry-order")
      .claim(2, "orders-1")
      .finish(2, "orders-1", "outcome-unknown")
      .build();
}

} // namespace psp::tests

#endif
