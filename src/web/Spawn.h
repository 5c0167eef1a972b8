/// \file
/// Coroutines in the background whose exceptions are reported.

#ifndef PSP_WEB_SPAWN_H
#define PSP_WEB_SPAWN_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/execution_context.hpp>

#include <exception>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace psp::web {

/// Called with the name of a coroutine and what its exception says.
using FailureReporter =
    std::function<void(std::string_view Name, const std::string &Reason)>;

/// Replaces the reporter for coroutines of \p Context, which by default writes
/// to standard error.
void setFailureReporter(boost::asio::execution_context &Context,
                        FailureReporter Report);
void reportFailure(const boost::asio::any_io_executor &Executor,
                   std::string_view Name, const std::exception_ptr &Failure);
std::string describeException(const std::exception_ptr &Failure);

/// Waits for \p Step. Returns the exception that ended it, or null.
boost::asio::awaitable<std::exception_ptr>
catchFailure(boost::asio::awaitable<void> Step);

/// Starts \p Step, an awaitable or a function that returns one. An exception
/// that ends it is reported. \p Name must be a literal.
template <typename Coroutine>
void spawn(const boost::asio::any_io_executor &Executor, std::string_view Name,
           Coroutine &&Step) {
  boost::asio::co_spawn(Executor, std::forward<Coroutine>(Step),
                        [Executor, Name](const std::exception_ptr &Failure) {
                          if (Failure)
                            reportFailure(Executor, Name, Failure);
                        });
}

} // namespace psp::web

#endif
