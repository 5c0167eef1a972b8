#include "web/Spawn.h"

#include <boost/asio/execution/context.hpp>
#include <boost/asio/query.hpp>

#include <iostream>

namespace psp::web {

namespace asio = boost::asio;

namespace {

/// Holds the reporter of an execution context.
class ReporterService : public asio::execution_context::service {
public:
  // Asio looks for this name. NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  explicit ReporterService(asio::execution_context &Context)
      : asio::execution_context::service(Context) {}

  void set(FailureReporter Report) { m_Report = std::move(Report); }
  void report(std::string_view Name, const std::string &Reason) const {
    m_Report(Name, Reason);
  }

private:
  void shutdown() override {}

  FailureReporter m_Report = [](std::string_view Name,
                                const std::string &Reason) {
    std::cerr << "coroutine " << Name << " failed: " << Reason << '\n';
  };
};

} // namespace

void setFailureReporter(asio::execution_context &Context,
                        FailureReporter Report) {
  asio::use_service<ReporterService>(Context).set(std::move(Report));
}

void reportFailure(const asio::any_io_executor &Executor, std::string_view Name,
                   const std::exception_ptr &Failure) {
  asio::use_service<ReporterService>(
      asio::query(Executor, asio::execution::context))
      .report(Name, describeException(Failure));
}

std::string describeException(const std::exception_ptr &Failure) {
  try {
    std::rethrow_exception(Failure);
  } catch (const std::exception &Fault) {
    return Fault.what();
  } catch (...) {
    return "unknown exception";
  }
}

asio::awaitable<std::exception_ptr> catchFailure(asio::awaitable<void> Step) {
  std::exception_ptr Failure;
  try {
    co_await std::move(Step);
  } catch (...) {
    Failure = std::current_exception();
  }
  co_return Failure;
}

} // namespace psp::web
