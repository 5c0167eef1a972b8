/// \file
/// psp-standin: a fake endpoint that speaks the published protocol, with
/// faults to switch on.

#include "base/Error.h"
#include "programs/standin/StandinServer.h"

#include <boost/algorithm/string.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

DEFINE_string(id, "", "Name of the endpoint");
DEFINE_string(kind, "model", "model, plain, order or notice");
DEFINE_string(services, "", "Services that it offers, separated by commas");
DEFINE_string(listen, "127.0.0.1:0", "IP number and port to listen on");
DEFINE_string(announce, "",
              "Caller addresses of the entry instances, separated by commas");
DEFINE_string(data_centre, "", "Data centre of the endpoint");
DEFINE_uint64(slots, 16, "Calls that run at once");
DEFINE_string(ledger_file, "", "File that gets one JSON line for each run");
DEFINE_uint64(token_ms, 10, "Time of one token when one call runs");
DEFINE_double(batch_cost, 0.03, "Share of token time added by a further call");
DEFINE_uint64(prefill_us_per_token, 50, "Time of one uncached prompt token");
DEFINE_uint64(cache_tokens, 200000, "Size of the prefix cache");
DEFINE_uint64(service_ms, 5, "Time of one call of a plain service");
DEFINE_bool(checks_fencing, false, "Refuses old fencing numbers");
DEFINE_uint64(fail_every, 0, "Refuses each n-th call");
DEFINE_uint64(hang_every, 0, "Runs each n-th call and never answers");
DEFINE_uint64(late_ms, 0, "Delay before each call");
DEFINE_uint64(drop_after_bytes, 0, "Closes after so many bytes of body");

namespace psp::standin {
namespace {

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  if (!Text.empty())
    boost::split(Parts, Text, boost::is_any_of(","));
  return Parts;
}

void setListenAddress(StandinOptions &Options, const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  const int Port =
      Colon == std::string::npos ? -1 : std::atoi(Text.c_str() + Colon + 1);
  if (Port <= 0 || Port > 65535)
    throw base::UserError(base::ErrorKind::BadRequest,
                          "--listen: expected IP:PORT, found " + Text);
  Options.m_ListenIp = Text.substr(0, Colon);
  Options.m_ListenPort = static_cast<std::uint16_t>(Port);
}

StandinOptions optionsFromFlags() {
  StandinOptions Options{
      .m_Id = FLAGS_id,
      .m_Kind = FLAGS_kind,
      .m_Services = split(FLAGS_services),
      .m_ListenIp = {},
      .m_EntryAddresses = split(FLAGS_announce),
      .m_DataCentre = FLAGS_data_centre,
      .m_LedgerFile = FLAGS_ledger_file,
      .m_ChecksFencing = FLAGS_checks_fencing,
      .m_CacheTokens = FLAGS_cache_tokens,
      .m_ServiceTime = base::milliseconds(FLAGS_service_ms),
      .m_Engine = {.m_TokenTime = base::milliseconds(FLAGS_token_ms),
                   .m_BatchCost = FLAGS_batch_cost,
                   .m_PrefillTimePerToken =
                       base::microseconds(FLAGS_prefill_us_per_token),
                   .m_Slots = FLAGS_slots},
      .m_Faults = {.m_FailEvery = FLAGS_fail_every,
                   .m_HangEvery = FLAGS_hang_every,
                   .m_Late = base::milliseconds(FLAGS_late_ms),
                   .m_DropAfterBytes = FLAGS_drop_after_bytes}};
  setListenAddress(Options, FLAGS_listen);
  if (Options.m_Id.empty() || Options.m_Services.empty())
    throw base::UserError(base::ErrorKind::BadRequest,
                          "expected --id and --services, found none");
  return Options;
}

} // namespace
} // namespace psp::standin

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  google::InitGoogleLogging(Arguments[0]);
  FLAGS_logtostderr = true;
  try {
    boost::asio::io_context Context;
    const psp::standin::StandinServer Server(Context,
                                             psp::standin::optionsFromFlags());
    Context.run();
  } catch (const psp::base::UserError &Error) {
    std::cerr << "psp-standin: " << Error.what() << '\n';
    return 2;
  }
  return 0;
}
