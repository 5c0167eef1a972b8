/// \file
/// What a replicated group replicates.

#ifndef PSP_CONSENSUS_STATEMACHINE_H
#define PSP_CONSENSUS_STATEMACHINE_H

#include <cstdint>
#include <string>
#include <string_view>

namespace psp::consensus {

/// A deterministic state that changes by committed commands only. Every member
/// applies the same commands in the same order.
class StateMachine {
public:
  virtual ~StateMachine() = default;

  /// \p WallMs is the proposing leader's clock, the same on every member.
  virtual void apply(std::uint64_t Index, std::string_view Command,
                     std::uint64_t WallMs) = 0;
  virtual std::string snapshot() const = 0;
  virtual void restore(std::string_view Snapshot) = 0;
};

} // namespace psp::consensus

#endif
