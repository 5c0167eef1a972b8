// A configuration that another version of the program has accepted may be
// unreadable to this one. A control node that finds it in its journal keeps
// running, and returns it to operators.

#include "base/Error.h"
#include "coordinator/Coordinator.h"
#include "platform/ControlDialect.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace psp::coordinator {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char *Host = "127.9.9.1";
constexpr std::uint16_t PeerPort = 17980;
constexpr std::uint16_t ControlPort = 17981;
constexpr milliseconds StartTimeout{15'000};
constexpr milliseconds PollInterval{100};
/// Longer than a started node takes to read its journal and become leader.
constexpr milliseconds ObservationTime{3'000};

class SingleNode : public node::SettingsSource {
public:
  explicit SingleNode(std::filesystem::path Folder)
      : m_Folder(std::move(Folder)) {}
  node::NodeSettings load() const override {
    node::NodeSettings Settings;
    Settings.m_Name = "control";
    Settings.m_DataCentre = "zone";
    Settings.m_Host = Host;
    Settings.m_PeerPort = PeerPort;
    Settings.m_SeedHosts = {Host};
    Settings.m_ControlAddress = {.m_Host = Host, .m_Port = ControlPort};
    Settings.m_DataFolder = m_Folder;
    Settings.m_Bootstrap = !std::filesystem::exists(m_Folder / "control");
    Settings.m_ToleratedLosses = 0;
    return Settings;
  }
  std::string fingerprint() const override { return "unchanged"; }

private:
  std::filesystem::path m_Folder;
};

/// Reads all documents or none.
class FixedCodec : public fleet::ConfigurationCodec {
public:
  explicit FixedCodec(bool Readable) : m_Readable(Readable) {}
  fleet::ServingConfiguration decode(const std::string &) const override {
    if (!m_Readable)
      throw base::UserError(base::ErrorKind::InvalidConfiguration,
                            "unreadable");
    return {};
  }

private:
  bool m_Readable;
};

/// A control node in a process of its own.
class ControlProcess {
public:
  ControlProcess(const std::filesystem::path &Folder, bool Readable)
      : m_Process(fork()) {
    if (m_Process != 0)
      return;
    const int Status = [&] {
      try {
        const SingleNode Source(Folder);
        const platform::ControlDialect Dialect;
        const FixedCodec Codec(Readable);
        Coordinator({}, Source, Dialect, Codec).run();
        return 0;
      } catch (const std::exception &) {
        return 1;
      }
    }();
    _exit(Status);
  }
  ~ControlProcess() {
    if (!isRunning())
      return;
    kill(m_Process, SIGKILL);
    waitpid(m_Process, nullptr, 0);
  }
  ControlProcess(const ControlProcess &) = delete;
  ControlProcess &operator=(const ControlProcess &) = delete;

  bool isRunning() {
    m_Ended = m_Ended || waitpid(m_Process, nullptr, WNOHANG) == m_Process;
    return !m_Ended;
  }

private:
  pid_t m_Process;
  bool m_Ended = false;
};

/// Status of the answer; 0 if there was none.
unsigned call(http::verb Method, const std::string &Target,
              const std::string &Body, std::string *Content = nullptr) {
  asio::io_context Io;
  tcp::socket Socket(Io);
  boost::system::error_code Error;
  Socket.connect({asio::ip::make_address(Host), ControlPort}, Error);
  if (Error)
    return 0;
  web::Request Out(Method, Target, 11);
  Out.body() = Body;
  Out.prepare_payload();
  http::write(Socket, Out, Error);
  boost::beast::flat_buffer Buffer;
  web::Response Answer;
  http::read(Socket, Buffer, Answer, Error);
  if (Error)
    return 0;
  if (Content)
    *Content = Answer.body();
  return Answer.result_int();
}

bool becomes(unsigned Status, http::verb Method, const std::string &Target,
             const std::string &Body) {
  const auto Deadline = std::chrono::steady_clock::now() + StartTimeout;
  while (std::chrono::steady_clock::now() < Deadline) {
    if (call(Method, Target, Body) == Status)
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

TEST(UnreadableConfigurationTest, ControlNodeKeepsRunning) {
  const auto Folder = std::filesystem::temp_directory_path() /
                      ("psp-unreadable-" + std::to_string(getpid()));
  std::filesystem::create_directories(Folder);
  {
    SCOPED_TRACE("one version accepts it");
    ControlProcess Control(Folder, true);
    EXPECT_TRUE(becomes(200, http::verb::post,
                        "/pistachiospool/configuration/replace",
                        R"({"version":1})"));
    EXPECT_TRUE(Control.isRunning());
  }
  {
    SCOPED_TRACE("another one can't read it");
    ControlProcess Control(Folder, false);
    EXPECT_TRUE(becomes(200, http::verb::get,
                        "/pistachiospool/configuration/read", ""));
    std::this_thread::sleep_for(ObservationTime);
    EXPECT_TRUE(Control.isRunning());
    std::string Document;
    EXPECT_EQ(call(http::verb::get, "/pistachiospool/configuration/read", "",
                   &Document),
              200U);
    EXPECT_EQ(Document, R"({"version":1})");
  }
  std::filesystem::remove_all(Folder);
}

} // namespace
} // namespace psp::coordinator
