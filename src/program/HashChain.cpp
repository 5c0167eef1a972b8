#include "program/HashChain.h"

#include "base/Hash.h"

namespace psp::program {

std::string contentHash(const messages::ProgramEntry &Entry) {
  messages::ProgramEntry Content = Entry;
  Content.clear_ballot();
  return base::toBytes(base::sha256(Content.SerializeAsString()));
}

std::optional<ChainFault>
verifyChain(const std::vector<messages::ProgramEntry> &Entries) {
  std::string Expected;
  std::uint64_t Index = 0;
  for (const messages::ProgramEntry &Entry : Entries) {
    ++Index;
    if (Entry.index() != Index)
      return ChainFault{.m_Index = Index,
                        .m_Reason = "expected index " + std::to_string(Index) +
                                    ", found " + std::to_string(Entry.index())};
    if (Entry.previous_hash() != Expected)
      return ChainFault{.m_Index = Index,
                        .m_Reason = "expected previous hash " +
                                    base::toHex(Expected) + ", found " +
                                    base::toHex(Entry.previous_hash())};
    Expected = contentHash(Entry);
  }
  return std::nullopt;
}

} // namespace psp::program
