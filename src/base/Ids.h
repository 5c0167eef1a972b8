/// \file
/// Typed identifiers. Each kind of identifier is its own type, so that an
/// organisation can't be passed where a program is expected.

#ifndef PSP_BASE_IDS_H
#define PSP_BASE_IDS_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace psp::base {

/// A string identifier distinguished by \p Tag.
///
/// Example: `InstanceId Self("brum-a-1"); Log << Self.str();`
template <typename Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Value) : m_Value(std::move(Value)) {}

  const std::string &str() const { return m_Value; }
  bool empty() const { return m_Value.empty(); }

  auto operator<=>(const Id &) const = default;

private:
  std::string m_Value;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &Out, const Id<Tag> &Value) {
  return Out << Value.str();
}

using DataCentreId = Id<struct DataCentreTag>;
using EndpointId = Id<struct EndpointTag>;
using InstanceId = Id<struct InstanceTag>;
using KeyId = Id<struct KeyTag>;
using OrganisationId = Id<struct OrganisationTag>;
using ProgramId = Id<struct ProgramTag>;

} // namespace psp::base

template <typename Tag> struct std::hash<psp::base::Id<Tag>> {
  std::size_t operator()(const psp::base::Id<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.str());
  }
};

#endif
