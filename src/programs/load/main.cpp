/// \file
/// psp-load: drives programs against entry instances and checks each answer.
/// Exit code 0: all answers were right; 1: one was wrong; 2: bad options.

#include "base/Error.h"
#include "programs/load/LoadRun.h"

#include <boost/algorithm/string.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <fstream>
#include <iostream>

DEFINE_string(entries, "", "Caller addresses, separated by commas");
DEFINE_string(organisations, "", "File with a line NAME KEY [WEIGHT] for each");
DEFINE_string(heavy, "", "Organisation that sends several times its share");
DEFINE_double(heavy_factor, 5.0, "How many times");
DEFINE_uint64(programs, 20, "Programs under way at the same time");
DEFINE_uint64(turns, 5, "Mean turns of a program");
DEFINE_uint64(max_tokens, 60, "Tokens of the longest answer");
DEFINE_uint64(seed, 1, "Seed");
DEFINE_uint64(duration_s, 10, "New programs are started for so long");
DEFINE_uint64(drain_s, 30, "Longest wait for the last programs");
DEFINE_uint64(call_timeout_s, 60, "Longest wait for one answer");
DEFINE_uint64(pause_ms, 200, "Mean pause for tools between turns");
DEFINE_string(model, "chat", "Model service");
DEFINE_string(order, "", "Order service; empty: no orders");
DEFINE_string(notice, "", "Notice service for alarms; empty: no alarms");
DEFINE_uint64(alarm_ms, 500, "Mean time between alarms");
DEFINE_double(stream_share, 0.8, "Share of model calls that are streamed");
DEFINE_double(order_share, 0.1, "Share of turns that are orders");
DEFINE_double(sub_agent_share, 0.1, "Share of turns that run a sub-agent");
DEFINE_double(loop_share, 0.0, "Share of programs that never end");
DEFINE_double(abandon_share, 0.05, "Share of programs that are abandoned");
DEFINE_string(csv, "", "File for the figures");
DEFINE_string(svg, "", "File for a plot of the latencies");

namespace psp::load {
namespace {

LoadOptions optionsFromFlags() {
  LoadOptions Options;
  if (FLAGS_entries.empty())
    throw base::UserError(base::ErrorKind::BadRequest,
                          "--entries: expected an address, found none");
  boost::split(Options.m_Entries, FLAGS_entries, boost::is_any_of(","));
  Options.m_Organisations = readOrganisations(FLAGS_organisations);
  for (Organisation &Each : Options.m_Organisations) {
    if (Each.m_Name == FLAGS_heavy)
      Each.m_Weight *= FLAGS_heavy_factor;
  }
  Options.m_Seed = FLAGS_seed;
  Options.m_Length = base::seconds(FLAGS_duration_s);
  Options.m_DrainTime = base::seconds(FLAGS_drain_s);
  Options.m_CallTimeout = base::seconds(FLAGS_call_timeout_s);
  Options.m_Programs = FLAGS_programs;
  Options.m_MeanTurns = std::max<std::uint64_t>(FLAGS_turns, 1);
  Options.m_MaxTokens = std::max<std::uint64_t>(FLAGS_max_tokens, 5);
  Options.m_MeanPause = base::milliseconds(FLAGS_pause_ms);
  Options.m_AlarmInterval = base::milliseconds(FLAGS_alarm_ms);
  Options.m_Model = FLAGS_model;
  Options.m_OrderService = FLAGS_order;
  Options.m_NoticeService = FLAGS_notice;
  Options.m_StreamShare = FLAGS_stream_share;
  Options.m_OrderShare = FLAGS_order_share;
  Options.m_SubAgentShare = FLAGS_sub_agent_share;
  Options.m_LoopShare = FLAGS_loop_share;
  Options.m_AbandonShare = FLAGS_abandon_share;
  return Options;
}

int runAll() {
  const LoadOptions Options = optionsFromFlags();
  LoadReport Report;
  {
    boost::asio::io_context Io;
    LoadRun Run(Io, Options, Report);
    Run.run();
  }
  Report.printTable(std::cout);
  if (!FLAGS_csv.empty()) {
    std::ofstream File(FLAGS_csv);
    Report.writeCsv(File);
  }
  if (!FLAGS_svg.empty()) {
    std::ofstream File(FLAGS_svg);
    Report.writeSvg(File);
  }
  return Report.wrong() == 0 ? 0 : 1;
}

} // namespace
} // namespace psp::load

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  google::InitGoogleLogging(Arguments[0]);
  FLAGS_logtostderr = true;
  try {
    return psp::load::runAll();
  } catch (const psp::base::UserError &Error) {
    std::cerr << "psp-load: " << Error.what() << '\n';
    return 2;
  }
}
