/// \file
/// The state that a replicated group replicates.

#ifndef PSP_CONSENSUS_STATEMACHINE_H
#define PSP_CONSENSUS_STATEMACHINE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace psp::consensus {

/// A deterministic state that only changes by committed commands. Every member
/// applies the same commands in the same order.
class StateMachine {
public:
  virtual ~StateMachine() = default;

  /// \p WallMs is the wall clock of the leader that proposed the command, so it
  /// is the same on every member.
  virtual void apply(std::uint64_t Index, std::string_view Command,
                     std::uint64_t WallMs) = 0;
  virtual std::string snapshot() const = 0;
  /// Index of the oldest entry that the state refers to, if any. The group
  /// retains the entries from there on.
  virtual std::optional<std::uint64_t> oldestEntry() const {
    return std::nullopt;
  }
  virtual void restore(std::string_view Snapshot) = 0;
};

} // namespace psp::consensus

#endif
