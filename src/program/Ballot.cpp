#include "program/Ballot.h"

namespace psp::program {

std::strong_ordering compareBallots(const messages::Ballot &Left,
                                    const messages::Ballot &Right) {
  if (const auto Order = Left.round() <=> Right.round(); Order != nullptr)
    return Order;
  if (const auto Order = Left.instance() <=> Right.instance(); Order != nullptr)
    return Order;
  return Left.nonce() <=> Right.nonce();
}

bool isSameBallot(const messages::Ballot &Left, const messages::Ballot &Right) {
  return compareBallots(Left, Right) == std::strong_ordering::equal;
}

bool endsLater(const LogEnd &Left, const LogEnd &Right) {
  const auto Order = compareBallots(Left.m_Ballot, Right.m_Ballot);
  if (Order != std::strong_ordering::equal)
    return Order == std::strong_ordering::greater;
  return Left.m_Index > Right.m_Index;
}

} // namespace psp::program
