#include "fleet/ServingConfiguration.h"

#include "base/Error.h"

#include <set>
#include <string_view>
#include <utility>

namespace psp::fleet {

namespace {

[[noreturn]] void reject(const std::string &Message) {
  throw base::UserError(base::ErrorKind::InvalidConfiguration, Message);
}

void checkTargets(const Route &Entry,
                  const ServingConfiguration &Configuration) {
  std::uint64_t TotalWeight = 0;
  for (const RouteTarget &Target : Entry.m_Targets) {
    TotalWeight += Target.m_Weight;
    if (!Configuration.m_Services.contains(Target.m_Service))
      reject("route " + Entry.m_Name +
             ": expected a configured service, found " + Target.m_Service);
  }
  if (TotalWeight == 0)
    reject("route " + Entry.m_Name +
           ": expected a sum of weights above 0, found 0");
}

void checkRoutes(const ServingConfiguration &Candidate) {
  std::set<std::pair<std::string_view, std::string_view>> HostsAndPrefixes;
  for (const Route &Entry : Candidate.m_Routes) {
    checkTargets(Entry, Candidate);
    if (Entry.m_Timeout <= base::Duration(0))
      reject("route " + Entry.m_Name + ": expected a timeout above 0, found 0");
    if (!HostsAndPrefixes.emplace(Entry.m_Host, Entry.m_PathPrefix).second)
      reject("route " + Entry.m_Name +
             ": expected a unique host and path prefix, "
             "found those of another route: " +
             Entry.m_Host + Entry.m_PathPrefix);
  }
}

void checkKeys(const ServingConfiguration &Candidate) {
  std::map<std::string, std::string> KeyOwners;
  for (const OrganisationSpec &Organisation : Candidate.m_Organisations) {
    for (const std::string &Key : Organisation.m_Keys) {
      const auto [It, Inserted] = KeyOwners.emplace(Key, Organisation.m_Name);
      if (!Inserted && It->second != Organisation.m_Name)
        reject("organisation " + Organisation.m_Name +
               ": expected keys of its own only, found one of " + It->second);
    }
  }
}

/// Decodes each document as a whole.
class WholeDecoder : public ConfigurationDecoder {
public:
  explicit WholeDecoder(const ConfigurationCodec &Codec) : m_Codec(Codec) {}

  void start(std::shared_ptr<const std::string> Document,
             std::shared_ptr<const ServingConfiguration>) override {
    m_Document = std::move(Document);
  }
  bool step(std::size_t) override {
    m_Result = m_Codec.decode(*m_Document);
    return true;
  }
  ServingConfiguration take() override { return std::move(m_Result); }

private:
  const ConfigurationCodec &m_Codec;
  std::shared_ptr<const std::string> m_Document;
  ServingConfiguration m_Result;
};

} // namespace

std::unique_ptr<ConfigurationDecoder> ConfigurationCodec::makeDecoder() const {
  return std::make_unique<WholeDecoder>(*this);
}

void checkConfiguration(const ServingConfiguration &Candidate) {
  checkRoutes(Candidate);
  checkKeys(Candidate);
}

} // namespace psp::fleet
