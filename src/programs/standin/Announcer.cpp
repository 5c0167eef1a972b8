#include "programs/standin/Announcer.h"

#include "bench/HttpClient.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace psp::standin {
namespace {

using nlohmann::json;

constexpr base::Duration Interval = base::seconds(1);
constexpr base::Duration Timeout = base::milliseconds(700);
constexpr std::uint64_t LeaseMs = 3000;
/// Each n-th announcement carries no prefixes.
constexpr std::uint64_t PrefixGap = 4;
constexpr std::size_t MaxReportedPrograms = 64;

} // namespace

Announcer::Announcer(boost::asio::io_context &Context,
                     const StandinOptions &Options,
                     const EndpointService &Service)
    : m_Context(Context), m_Options(Options), m_Service(Service),
      m_Timer(Context), m_Incarnation(base::readClocks().m_Wall) {}

void Announcer::start() { announce(); }

void Announcer::leave(std::function<void()> Done) {
  m_Timer.cancel();
  post("/v1/endpoints/leave", leaveMessage(), m_Options.m_EntryAddresses.size(),
       std::move(Done));
}

void Announcer::announce() {
  post("/v1/endpoints/announce", announcement(),
       m_Options.m_EntryAddresses.size(), [] {});
  m_Timer.expires_after(Interval);
  m_Timer.async_wait([this](const auto &Error) {
    if (!Error)
      announce();
  });
}

void Announcer::post(const std::string &Target, const std::string &Body,
                     std::size_t Attempts, std::function<void()> Done) {
  if (Attempts == 0) {
    if (!m_Options.m_EntryAddresses.empty())
      LOG(WARNING) << "standin: no entry instance took " << Target;
    Done();
    return;
  }
  const std::size_t Chosen = m_NextEntry++ % m_Options.m_EntryAddresses.size();
  bench::ClientRequest Request{
      .m_Address = m_Options.m_EntryAddresses[Chosen],
      .m_Method = "POST",
      .m_Target = Target,
      .m_Headers = {{"Content-Type", "application/json"}},
      .m_Body = Body,
      .m_Timeout = Timeout};
  bench::sendRequest(m_Context, std::move(Request),
                     [this, Target, Body, Attempts, Done = std::move(Done)](
                         const bench::ClientResponse &Response) {
                       if (Response.m_Status / 100 == 2)
                         Done();
                       else
                         post(Target, Body, Attempts - 1, Done);
                     });
}

std::string Announcer::announcement() {
  ++m_Sequence;
  json Body = {
      {"endpoint", m_Options.m_Id},
      {"data_centre", m_Options.m_DataCentre},
      {"address",
       m_Options.m_ListenIp + ":" + std::to_string(m_Options.m_ListenPort)},
      {"services", m_Options.m_Services},
      {"incarnation", m_Incarnation},
      {"sequence", m_Sequence},
      {"lease_ms", LeaseMs},
      {"checks_fencing", m_Options.m_ChecksFencing},
      {"slots", m_Options.m_Engine.m_Slots},
      {"running", m_ReportedLoad.m_Running},
      {"waiting", m_ReportedLoad.m_Waiting},
  };
  if (m_Sequence % PrefixGap != 0) {
    auto &Programs = m_ReportedLoad.m_HeldPrograms;
    Programs.resize(std::min(Programs.size(), MaxReportedPrograms));
    Body["cached_prefixes"] = Programs;
  }
  m_ReportedLoad = m_Service.load();
  return Body.dump();
}

std::string Announcer::leaveMessage() {
  ++m_Sequence;
  const json Body = {{"endpoint", m_Options.m_Id},
                     {"incarnation", m_Incarnation},
                     {"sequence", m_Sequence}};
  return Body.dump();
}

} // namespace psp::standin
