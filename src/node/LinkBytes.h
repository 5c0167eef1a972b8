/// \file
/// Counts the bytes that this process sends to other nodes, by purpose and by
/// the data centres of both ends.

#ifndef PSP_NODE_LINKBYTES_H
#define PSP_NODE_LINKBYTES_H

#include "generated/fleet.pb.h"
#include "metrics/Registry.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace psp::node {

/// What \p Message is for, from a fixed list.
std::string_view purposeOf(const messages::fleet::LinkMessage &Message);

/// Load pattern: each message of a link is counted, so the counters are looked
/// up by what the message has at hand.
class LinkBytes {
public:
  LinkBytes(metrics::Registry &Metrics, std::string DataCentre)
      : m_Metrics(Metrics), m_DataCentre(std::move(DataCentre)) {}

  /// \p To: data centre of the receiver; empty if it isn't known yet.
  void add(const messages::fleet::LinkMessage &Message, const std::string &To,
           std::size_t Bytes);

private:
  /// Further data centres are counted as one.
  static constexpr std::size_t MaxDataCentres = 64;

  metrics::Registry &m_Metrics;
  std::string m_DataCentre; ///< Of this process.
  std::set<std::string> m_DataCentres;
  /// By purpose and receiver.
  std::map<std::pair<std::string_view, std::string>, metrics::Counter *>
      m_Counters;
};

} // namespace psp::node

#endif
